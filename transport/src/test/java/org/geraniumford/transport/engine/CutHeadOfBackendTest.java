package org.geraniumford.transport.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.platform.PlatformClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against responses that are broken off within their head, in the calls made by AsyncHttpClient: neither what
 * follows nor the end of the connection makes them a success.
 */
final class CutHeadOfBackendTest {
    private static final int CALLS = 3;

    /** After the last event of a completion, until its connection is idle. */
    private static final int PAUSE_MILLIS = 100;

    private static final List<String> HEADS = List.of(
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 20\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nServer: server\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n");

    private final AsyncHttpClient http = BackendHttpClients.create(1);
    private final AsyncHttpClient platformHttp = Dsl.asyncHttpClient(PlatformClient.httpClientConfiguration());

    @AfterEach
    void close() throws IOException {
        http.close();
        platformHttp.close();
    }

    private AsyncHttpClient clientOf(BackendReader reader) {
        return switch (reader) {
            case ROWS, OBJECT -> platformHttp;
            default -> http;
        };
    }

    /** Starts a server for a text that begins with a cut head. */
    private interface ServerStarter {
        RawServer start(String text) throws IOException;
    }

    /** Makes a call for each byte after which the head is cut, and returns those that succeed. */
    private List<String> successes(BackendReader reader, String head, String behind, ServerStarter starter)
            throws Exception {
        List<String> found = new ArrayList<>();
        for (int cut = 1; cut < head.length(); cut++) {
            try (RawServer server = starter.start(head.substring(0, cut) + behind)) {
                if (succeeds(reader.call(server.uri(), clientOf(reader)))) {
                    found.add("cut after " + cut + " bytes");
                }
            }
        }
        return found;
    }

    private static boolean succeeds(CompletableFuture<?> call) throws Exception {
        try {
            call.get(20, TimeUnit.SECONDS);
            return true;
        } catch (ExecutionException e) {
            return false;
        }
    }

    static Stream<Arguments> readersAndHeads() {
        return Stream.of(BackendReader.values())
                .flatMap(reader -> HEADS.stream().map(head -> Arguments.of(reader, head)));
    }

    @ParameterizedTest
    @MethodSource("readersAndHeads")
    void shouldFailWhenAHeadIsCutAndAnotherResponseFollows(BackendReader reader, String head) throws Exception {
        String failure =
                "HTTP/1.1 500 Failed\r\nContent-Length: " + reader.body().length() + "\r\n\r\n" + reader.body();
        assertThat(successes(reader, head, failure, RawServer::sending)).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("readersAndHeads")
    void shouldFailWhenAHeadIsCutAndItsConnectionCloses(BackendReader reader, String head) throws Exception {
        assertThat(successes(reader, head, "", RawServer::sending)).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("readersAndHeads")
    void shouldFailWhenAHeadIsCutAndItsConnectionIsReset(BackendReader reader, String head) throws Exception {
        assertThat(successes(reader, head, "", RawServer::sendingAndResetting)).isEmpty();
    }

    private static String success(BackendReader reader) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + reader.body().length() + "\r\n\r\n" + reader.body();
    }

    @ParameterizedTest
    @EnumSource(BackendReader.class)
    void shouldReuseAConnectionThatHasCarriedOnlyResponses(BackendReader reader) throws Exception {
        try (KeepAliveServer server = KeepAliveServer.sending(success(reader), "", false)) {
            for (int i = 0; i < CALLS; i++) {
                assertThat(succeeds(reader.call(server.uri(), clientOf(reader))))
                        .isTrue();
                Thread.sleep(PAUSE_MILLIS);
            }
            assertThat(server.reused()).isEqualTo(CALLS - 1);
        }
    }

    /** A response to HEAD has no body, whatever length it announces; a plain service's caller may send one. */
    @Test
    void shouldReuseAConnectionThatHasCarriedAResponseToHead() throws Exception {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n";
        Message.Call head = new Message.Call(new AttemptId("id", 1), "token", 0, "HEAD", "/x", "", "", 10_000_000);
        try (KeepAliveServer server = KeepAliveServer.sending(response, "", false)) {
            for (int i = 0; i < CALLS; i++) {
                assertThat(succeeds(ServiceClient.of(server.uri(), http).forward(head)))
                        .isTrue();
            }
            assertThat(server.reused()).isEqualTo(CALLS - 1);
        }
    }

    static Stream<Arguments> readersAndSurplus() {
        return Stream.of(BackendReader.values())
                .flatMap(reader -> Stream.of("H", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                        .flatMap(surplus ->
                                Stream.of(true, false).map(pausing -> Arguments.of(reader, surplus, pausing))));
    }

    @ParameterizedTest
    @MethodSource("readersAndSurplus")
    void shouldNotReuseAConnectionThatHasCarriedBytesAfterAResponse(
            BackendReader reader, String surplus, boolean pausing) throws Exception {
        try (KeepAliveServer server = KeepAliveServer.sending(success(reader), surplus, pausing)) {
            for (int i = 0; i < CALLS; i++) {
                assertThat(succeeds(reader.call(server.uri(), clientOf(reader))))
                        .isTrue();
                assertThat(server.isLeft()).isTrue();
            }
            assertThat(server.reused()).isZero();
        }
    }
}
