package org.geraniumford.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.geraniumford.core.request.RequestLimits;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against sidecars that stop responding and callers that stop reading while their connections stay open. */
final class SlowPeersTest {
    private static final int CREDIT_TOKENS = 64;
    private static final int TOKENS = 10_000;
    private static final String LONG_TOKEN = "x".repeat(8 * 1024);
    /**
     * A silent host is pinged after 100 ms and its attempt ended 200 ms later; a caller that reads nothing for 500 ms
     * is disconnected.
     */
    private static final RequestLimits LIMITS = new RequestLimits(
            Duration.ofMillis(20),
            Duration.ofMillis(100),
            Duration.ofMillis(200),
            Duration.ofSeconds(30),
            Duration.ofMillis(500),
            CREDIT_TOKENS);

    private final EntryFixture fixture = EntryFixture.start(LIMITS);

    @AfterEach
    void stop() {
        fixture.close();
    }

    /**
     * The sidecar sends 5 of 8 tokens and then responds to nothing, not even to pings. The request must complete at the
     * other server, and 10 further requests must not be sent to the unresponsive one.
     */
    @Test
    void shouldResumeAtAnotherServerAndSendNoNewWorkWhenASidecarStopsResponding() {
        FakeSidecar unresponsive = fixture.startEngine("runner-1");
        AtomicInteger submits = new AtomicInteger();
        unresponsive.setBehaviour((link, message) -> {
            if (message instanceof Message.Submit submit) {
                submits.incrementAndGet();
                FakeSidecar.sendStarted(link, submit);
                FakeSidecar.sendTokens(link, submit, 0, 5);
            }
        });
        var response = fixture.sendAsync(fixture.chatRequest(",\"max_tokens\":8"));
        EntryFixture.await(() -> submits.get() == 1);
        fixture.startEngine("runner-2");
        HttpResponse<String> completed = response.join();
        assertThat(completed.body()).contains("t0 t1 t2 t3 t4 t5 t6 t7 ").contains("\"backend\":\"runner-2\"");
        assertThat(unresponsive.hasReceived(Message.Ping.class)).isTrue();
        IntStream.range(0, 10)
                .mapToObj(SlowPeersTest::prompt)
                .map(body -> fixture.request("/v1/completions").POST(body).build())
                .forEach(request -> assertThat(fixture.send(request).body()).contains("\"backend\":\"runner-2\""));
        assertThat(submits).hasValue(1);
    }

    /**
     * The engine sends as many tokens as its credit allows. Without credit it would send all of them, and the entry
     * would buffer them for a caller that never reads.
     */
    @Test
    void shouldLimitTheEngineAndDisconnectTheCallerWhenItReadsNothing() throws IOException {
        FakeSidecar sidecar = fixture.startEngine("runner-1");
        AtomicInteger sentTokens = new AtomicInteger();
        sidecar.setBehaviour((link, message) -> {
            if (message instanceof Message.Submit submit) {
                FakeSidecar.sendStarted(link, submit);
                send(link, submit.id(), sentTokens, submit.credit());
            } else if (message instanceof Message.Credit credit) {
                send(link, credit.id(), sentTokens, credit.upToOffset());
            } else {
                FakeSidecar.respond(link, message);
            }
        });
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.port())) {
            String body = "{\"model\":\"drafts\",\"prompt\":\"p\",\"stream\":true,\"max_tokens\":" + TOKENS + "}";
            String header = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + EntryFixture.API_KEY
                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n";
            socket.getOutputStream().write((header + body).getBytes(StandardCharsets.US_ASCII));
            EntryFixture.await(() -> fixture.refusals("slow_reader") == 1);
            EntryFixture.await(() -> sidecar.hasReceived(Message.Cancel.class));
        }
        assertThat(sentTokens.get()).isLessThan(TOKENS);
    }

    private static HttpRequest.BodyPublisher prompt(int promptNumber) {
        return HttpRequest.BodyPublishers.ofString(
                "{\"model\":\"drafts\",\"max_tokens\":1,\"prompt\":\"prompt " + promptNumber + "\"}");
    }

    /** Sends the tokens after those already sent, up to an offset, exclusive, and at most {@link #TOKENS} in all. */
    private static void send(Link link, AttemptId id, AtomicInteger sentTokens, int toOffset) {
        int fromOffset = sentTokens.getAndSet(Math.min(toOffset, TOKENS));
        IntStream.range(fromOffset, sentTokens.get())
                .forEach(offset -> link.send(new Message.Chunk(id, offset, List.of(LONG_TOKEN))));
    }
}
