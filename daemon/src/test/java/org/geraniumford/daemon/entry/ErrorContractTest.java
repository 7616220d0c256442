package org.geraniumford.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks the status, reason, verdict, text and retry-after of the error responses to callers. */
final class ErrorContractTest {
    private static final String CHAT = "/v1/chat/completions";
    private static final String TEXT = "/v1/completions";
    private static final String MESSAGES = "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]";

    private final EntryFixture fixture = EntryFixture.start();

    @AfterEach
    void stop() {
        fixture.close();
    }

    static Stream<Arguments> badRequests() {
        return Stream.of(
                body("", Reason.MALFORMED_REQUEST, "not a JSON object"),
                body("{", Reason.MALFORMED_REQUEST, "not JSON at line 1"),
                body("[]", Reason.MALFORMED_REQUEST, "not a JSON object"),
                body("{} {}", Reason.MALFORMED_REQUEST, "not JSON"),
                body("{\"model\":\"drafts\",\"model\":\"drafts\"}", Reason.MALFORMED_REQUEST, "not JSON"),
                body("{" + MESSAGES + "}", Reason.MALFORMED_REQUEST, "model is missing"),
                body("{\"model\":7," + MESSAGES + "}", Reason.MALFORMED_REQUEST, "model is not a string"),
                body("{\"model\":\"drafts\"}", Reason.MALFORMED_REQUEST, "messages is not an array"),
                body("{\"model\":\"drafts\",\"messages\":[]}", Reason.MALFORMED_REQUEST, "messages is not an array"),
                body(
                        "{\"model\":\"drafts\",\"messages\":[{\"content\":\"x\"}]}",
                        Reason.MALFORMED_REQUEST,
                        "messages[0].role is not a string"),
                body(
                        "{\"model\":\"drafts\",\"messages\":[{\"role\":\"user\",\"content\":[]}]}",
                        Reason.MALFORMED_REQUEST,
                        "messages[0].content is not a string"),
                field("\"max_tokens\":0", "max_tokens is not a whole number"),
                field("\"max_tokens\":1.5", "max_tokens is not a whole number"),
                field("\"max_tokens\":99999999999", "max_tokens is not a whole number"),
                field("\"stream\":\"yes\"", "stream is not true or false"),
                field("\"priority_class\":3", "priority_class is not a string"),
                field("\"priority_class\":\"none\"", "priority_class is not the name of a class"),
                body("{\"model\":\"none\"," + MESSAGES + "}", Reason.UNKNOWN_MODEL, "no model"),
                body("{\"model\":\"other\"," + MESSAGES + "}", Reason.FORBIDDEN, "may not use model"),
                Arguments.of("POST", TEXT, "{\"model\":\"drafts\"}", Reason.MALFORMED_REQUEST, "prompt is missing"),
                Arguments.of(
                        "POST", TEXT, "{\"model\":\"drafts\",\"prompt\":\"\"}", Reason.MALFORMED_REQUEST, "is empty"),
                Arguments.of("GET", CHAT, "", Reason.METHOD_NOT_ALLOWED, "POST only"),
                Arguments.of("POST", "/v1/other", "{}", Reason.UNKNOWN_PATH, "path"),
                Arguments.of("GET", "/services/ballots", "", Reason.UNKNOWN_PATH, "path"),
                Arguments.of("GET", "/services/none/status/1", "", Reason.UNKNOWN_SERVICE, "no service"),
                Arguments.of("GET", "/services/sends/status/1", "", Reason.FORBIDDEN, "may not call"),
                Arguments.of("POST", "/services/ballots/ballots", "", Reason.IDEMPOTENCY_KEY_MISSING, "Idempotency"),
                Arguments.of("GET", "/services/ballots/status/1", "", Reason.NO_BACKEND, "no live host"),
                body("{\"model\":\"drafts\"," + MESSAGES + "}", Reason.NO_BACKEND, "no live engine"),
                Arguments.of("POST", CHAT, "x".repeat(5_000_000), Reason.BODY_TOO_LARGE, "could not be read"));
    }

    // -- requests

    @ParameterizedTest
    @MethodSource("badRequests")
    void shouldReturnTheDocumentedErrorWhenTheRequestIsInvalid(
            String method, String path, String body, Reason reason, String detail) throws JsonProcessingException {
        HttpRequest request = fixture.request(path)
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        assertError(fixture.send(request), reason, detail);
    }

    @ParameterizedTest
    @EnumSource(HttpClient.Version.class)
    void shouldRefuseTheRequestWhenTheApiKeyIsMissingOrUnknown(HttpClient.Version version)
            throws JsonProcessingException {
        for (String authorization : List.of("Bearer wrong", "Bearer ", "Basic " + EntryFixture.API_KEY)) {
            HttpRequest request = fixture.request(CHAT)
                    .version(version)
                    .setHeader("Authorization", authorization)
                    .POST(HttpRequest.BodyPublishers.ofString("{}"))
                    .build();
            HttpResponse<String> response = fixture.send(request);
            assertThat(response.statusCode()).isEqualTo(Reason.UNAUTHENTICATED.status());
            assertThat(response.body()).doesNotContain("wrong").doesNotContain(EntryFixture.API_KEY);
        }
        assertThat(fixture.refusals("unauthenticated")).isEqualTo(3);
    }

    @Test
    void shouldRefuseTheRequestWhenTheBodyIsNotUtf8() throws JsonProcessingException {
        HttpRequest request = fixture.request(CHAT)
                .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[] {'{', '"', (byte) 0xc3, '"', '}'}))
                .build();
        assertError(fixture.send(request), Reason.MALFORMED_REQUEST, "not UTF-8");
    }

    @Test
    void shouldRefuseTheRequestWhenTheHeaderFieldsAreTooLarge() throws JsonProcessingException {
        HttpRequest request = fixture.request(CHAT)
                .header("X-Padding", "x".repeat(20_000))
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
        assertError(fixture.send(request), Reason.HEADER_TOO_LARGE, "could not be read");
    }

    @Test
    void shouldServeFurtherRequestsWhenACallerSendsInvalidBytes() throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.port())) {
            socket.getOutputStream().write("\0\1\2 garbage\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(response).startsWith("HTTP/1.1 400").contains("malformed_request");
        }
        fixture.startEngine("runner-1");
        assertThat(fixture.send(fixture.chatRequest(",\"max_tokens\":1")).statusCode())
                .isEqualTo(200);
    }

    @Test
    void shouldRefuseTheRequestWhenNoConfigurationIsLoaded() throws JsonProcessingException {
        try (EntryFixture empty = EntryFixture.unconfigured()) {
            HttpResponse<String> response = empty.send(empty.chatRequest(""));
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(error(response).path("reason").textValue()).isEqualTo("no_configuration");
            assertThat(empty.entry().isReady()).isFalse();
        }
    }

    // -- rejections of sidecars

    @ParameterizedTest
    @EnumSource(
            value = Reason.class,
            names = {"REQUEST_RATE_LIMITED", "DEADLINE_PASSED", "TOKEN_RATE_LIMITED", "STREAMS_LIMITED"})
    void shouldForwardTheRejectionWhenARetryAtAnotherHostWouldFailToo(Reason reason) throws JsonProcessingException {
        FakeSidecar sidecar = fixture.startEngine("runner-1");
        sidecar.setBehaviour((link, message) -> {
            if (message instanceof Message.Submit submit) {
                Refusal refusal = Refusal.notRun(reason, "busy").withRetryAfter(Duration.ofMillis(2500));
                link.send(new Message.Refused(submit.id(), refusal));
            }
        });
        HttpResponse<String> response = fixture.send(fixture.chatRequest(""));
        assertError(response, reason, "busy");
        assertThat(response.headers().firstValue("Retry-After")).hasValue("3");
        assertThat(error(response).path("retry_after_ms").longValue()).isEqualTo(2500);
    }

    // -- limits

    @Test
    void shouldRefuseModelRequestsAndServiceCallsWhenTheCustomersLimitsAreReached() throws JsonProcessingException {
        fixture.startEngine("runner-1");
        fixture.startService("service-1", "ballots");
        fixture.limiter().refuseWith(Refusal.notRun(Reason.REQUEST_RATE_LIMITED, "over the limit"));
        assertError(fixture.send(fixture.chatRequest("")), Reason.REQUEST_RATE_LIMITED, "over the limit");
        HttpResponse<String> call =
                fixture.send(fixture.request("/services/ballots/status/1").build());
        assertThat(call.statusCode()).isEqualTo(Reason.REQUEST_RATE_LIMITED.status());
    }

    @Test
    void shouldReleaseEveryAdmittedRequestWhenItHasEnded() {
        fixture.startEngine("runner-1");
        fixture.startService("service-1", "ballots");
        assertThat(fixture.send(fixture.chatRequest(",\"max_tokens\":3")).statusCode())
                .isEqualTo(200);
        fixture.send(fixture.request("/services/ballots/status/1").build());
        EntryFixture.await(() -> fixture.limiter().openRequests() == 0);
        assertThat(fixture.limiter().tokens()).isPositive();
    }

    @Test
    void shouldReturnMayHaveRunWhenTheLinkIsLostDuringACall() throws JsonProcessingException {
        FakeSidecar sidecar = fixture.startService("service-1", "ballots");
        sidecar.setBehaviour((link, message) -> {
            if (message instanceof Message.Call) {
                sidecar.close();
            }
        });
        HttpResponse<String> response =
                fixture.send(fixture.request("/services/ballots/status/1").build());
        assertThat(error(response).path("verdict").textValue()).isEqualTo("may_have_run");
        assertThat(response.statusCode()).isBetween(502, 503);
    }

    // -- support

    private static Arguments body(String body, Reason reason, String detail) {
        return Arguments.of("POST", CHAT, body, reason, detail);
    }

    private static Arguments field(String field, String detail) {
        return body("{\"model\":\"drafts\"," + MESSAGES + "," + field + "}", Reason.MALFORMED_REQUEST, detail);
    }

    private void assertError(HttpResponse<String> response, Reason reason, String detail)
            throws JsonProcessingException {
        JsonNode error = error(response);
        assertThat(response.statusCode()).isEqualTo(reason.status());
        assertThat(error.path("reason").textValue()).isEqualTo(reason.label());
        assertThat(error.path("verdict").textValue()).isEqualTo(Verdict.NOT_RUN.label());
        assertThat(error.path("message").textValue()).contains(detail);
        assertThat(response.headers().firstValue("X-Request-Id"))
                .hasValue(error.path("request_id").textValue());
        assertThat(response.headers().firstValue("Retry-After").isPresent()).isEqualTo(reason.retryable());
        assertThat(error.path("retry_after_ms").longValue() > 0).isEqualTo(reason.retryable());
        assertThat(fixture.refusals(reason.label())).isEqualTo(1);
    }

    private static JsonNode error(HttpResponse<String> response) throws JsonProcessingException {
        return new ObjectMapper().readTree(response.body()).path("error");
    }
}
