package org.geraniumford.daemon.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.geraniumford.core.configuration.ConfigurationParser;
import org.geraniumford.core.configuration.ParsedConfiguration;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.transport.http.HttpExchange;
import org.geraniumford.transport.http.HttpLimits;
import org.geraniumford.transport.http.HttpServer;
import org.geraniumford.transport.http.HttpService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class LoadRunTest {
    private static final String TOKEN = "{\"choices\":[{\"delta\":{\"content\":\" ikipe\"}}]}";
    private static final String SUMMARY =
            "{\"choices\":[],\"geraniumford\":{\"cached_pieces\":2,\"pieces\":4,\"attempts\":2}}";
    private static final String ERROR_FORMAT = "{\"error\":{\"reason\":\"%s\",\"verdict\":\"not_run\"}}";
    private static final String SHORT_SCENARIO = "[traffic]\nseconds = 2\nrate = 10\ntime_scale = 20\ncustomers = 2\n";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        group.shutdownGracefully().awaitUninterruptibly();
    }

    /** The responses of the entry, each with the reason that its outcome must have. Status 0 closes the connection. */
    enum EntryResponse {
        COMPLETE("", 200, TOKEN, SUMMARY, "[DONE]"),
        WITHOUT_END("stream_without_end", 200, TOKEN),
        STREAM_ERROR("stream_broken", 200, TOKEN, ERROR_FORMAT.formatted("stream_broken")),
        REFUSED("queue_full", 503, ERROR_FORMAT.formatted("queue_full")),
        CONNECTION_CLOSED("RemotelyClosedException", 0);

        private final String reason;
        private final int status;
        private final String events;

        EntryResponse(String reason, int status, String... events) {
            this.reason = reason;
            this.status = status;
            this.events = String.join("\n", events);
        }

        void send(HttpExchange exchange) {
            if (status == 0) {
                exchange.abort();
            } else if (status == 200) {
                exchange.startEvents(Map.of());
                events.lines().forEach(exchange::sendEvent);
                exchange.endEvents();
            } else {
                exchange.respondJson(status, events);
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void shouldReportTheOutcomeOfEachRequestWhenTheEntryResponds(EntryResponse response) throws InterruptedException {
        Scenario scenario = ScenarioReader.read("s.ini", SHORT_SCENARIO.getBytes(StandardCharsets.UTF_8));
        List<Arrival> trace = Trace.generate(scenario, 3);
        List<Outcome> outcomes = LoadRun.run(scenario, new LoadTarget(List.of(start(response))), trace, line -> {});
        assertThat(outcomes).hasSameSizeAs(trace).allSatisfy(outcome -> {
            assertThat(outcome.reason()).isEqualTo(response.reason);
            assertThat(outcome.firstTokenMicros() >= 0).isEqualTo(response.events.startsWith(TOKEN));
        });
        LoadResult result = LoadResult.of(scenario, "run", 3, trace, outcomes);
        boolean complete = response == EntryResponse.COMPLETE;
        assertThat(result.completed()).isEqualTo(complete ? trace.size() : 0);
        assertThat(result.retried()).isEqualTo(complete ? trace.size() : 0);
        assertThat(result.hitRate()).isEqualTo(complete ? 0.5 : 0);
        assertThat(result.jainIndex()).isEqualTo(complete ? 1.0 : 0);
        assertThat(result.refusals().values().stream()
                        .mapToLong(Long::longValue)
                        .sum())
                .isEqualTo(complete ? 0 : trace.size());
    }

    @Test
    void shouldFormatTableAndJsonWhenARunIsComplete() throws InterruptedException {
        Scenario scenario = ScenarioReader.read("s.ini", SHORT_SCENARIO.getBytes(StandardCharsets.UTF_8));
        List<Arrival> trace = Trace.generate(scenario, 3);
        LoadTarget target = new LoadTarget(List.of(start(EntryResponse.COMPLETE)));
        LoadResult result = LoadResult.of(scenario, "run", 3, trace, LoadRun.run(scenario, target, trace, line -> {}));
        assertThat(LoadReport.table(result)).contains("scenario=s label=run seed=3", "customer-2");
        assertThat(LoadReport.json(result)).contains("\"hit_rate\" : 0.5");
    }

    @Test
    void shouldGenerateAConfigurationThatTheRouterAcceptsWhenGivenAScenario() {
        Scenario scenario = ScenarioReader.read("s.ini", SHORT_SCENARIO.getBytes(StandardCharsets.UTF_8));
        assertThat(ConfigurationParser.parse(1, LoadConfiguration.text(scenario)))
                .isInstanceOf(ParsedConfiguration.Accepted.class);
    }

    private URI start(EntryResponse response) {
        HttpService service = new HttpService() {
            @Override
            public void handle(HttpExchange exchange) {
                response.send(exchange);
            }

            @Override
            public void requestUnreadable(HttpExchange exchange, Reason reason) {
                exchange.abort();
            }
        };
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        HttpServer server = HttpServer.start(group, anyPort, HttpLimits.ofDefaults(), service)
                .join();
        return URI.create("http://127.0.0.1:" + server.address().getPort());
    }
}
