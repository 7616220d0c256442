package org.geraniumford.standins.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.geraniumford.standins.StandInClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ServiceContractTest {
    private final ServiceStandIn service = ServiceStandIn.start(ServiceOptions.ofDefaults());
    private final StandInClient client = new StandInClient(service.uri());

    @AfterEach
    void stop() {
        service.close();
    }

    /** Status 0 is {@link StandInClient#CONNECTION_LOST}. {@code none} names no fault, so it injects nothing. */
    @ParameterizedTest
    @CsvSource({
        "/ballots, none,         200, 1, 2",
        "/sends,   none,         200, 1, 2",
        "/ballots, error_before, 500, 0, 1",
        "/ballots, error_after,  500, 1, 2",
        "/ballots, lost_before,  0,   0, 1",
        "/ballots, lost_after,   0,   1, 2",
        "/sends,   lost_after,   0,   1, 2",
    })
    void shouldReturnTheExpectedStatusAndCountExecutionsWhenAFaultIsInjected(
            String path, String fault, int status, int executions, int executionsAfterSecondCall) {
        client.post("/faults", "{\"" + fault + "\":1}");
        assertThat(client.post(path, "{\"id\":\"b-1\"}").status()).isEqualTo(status);
        assertThat(service.executions().getOrDefault("b-1", 0)).isEqualTo(executions);
        assertThat(client.post(path, "{\"id\":\"b-1\"}").status()).isEqualTo(200);
        assertThat(service.executions()).containsEntry("b-1", executionsAfterSecondCall);
    }

    @Test
    void shouldReturnTheStatusWithoutCountingAnExecutionWhenQueried() {
        client.post("/ballots", "{\"id\":\"b-1\"}");
        assertThat(client.get("/status/b-1").json().get("executions").asInt()).isEqualTo(1);
        assertThat(client.get("/status/b-2").json().get("executions").asInt()).isZero();
        assertThat(client.get("/executions").json().get("executions")).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"POST|/ballots|{}|400", "POST|/ballots|x|400", "GET|/ballots|''|405"})
    void shouldReturnAnErrorWithoutAnExecutionWhenTheCallIsInvalid(
            String method, String path, String body, int status) {
        assertThat(client.call(method, path, body).status()).isEqualTo(status);
        assertThat(service.executions()).isEmpty();
    }
}
