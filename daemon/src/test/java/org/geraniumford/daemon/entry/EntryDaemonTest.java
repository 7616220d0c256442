package org.geraniumford.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Sends HTTP requests through an entry to fake sidecars. */
final class EntryDaemonTest {
    private final EntryFixture fixture = EntryFixture.start();

    @AfterEach
    void stop() {
        fixture.close();
    }

    // -- responses

    @ParameterizedTest
    @EnumSource(HttpClient.Version.class)
    void shouldReturnACompleteBodyWhenNoStreamIsRequested(HttpClient.Version version) throws JsonProcessingException {
        fixture.startEngine("runner-1");
        HttpRequest request = HttpRequest.newBuilder(fixture.chatRequest(",\"max_tokens\":3"), (name, value) -> true)
                .version(version)
                .build();
        HttpResponse<String> response = fixture.send(request);
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.headers().firstValue("X-Request-Id")).isPresent();
        JsonNode body = new ObjectMapper().readTree(response.body());
        assertThat(body.at("/choices/0/message/content").textValue()).isEqualTo(tokenText(3));
        assertThat(body.at("/usage/completion_tokens").intValue()).isEqualTo(3);
        assertThat(body.at("/geraniumford/backend").textValue()).isEqualTo("runner-1");
        assertThat(body.at("/geraniumford/attempts").intValue()).isEqualTo(1);
    }

    @Test
    void shouldSendEveryTokenInOrderAndEndWithDoneWhenStreaming() throws JsonProcessingException {
        fixture.startEngine("runner-1");
        HttpResponse<String> response = fixture.send(fixture.chatRequest(",\"max_tokens\":1000,\"stream\":true"));
        assertThat(streamedText(response)).isEqualTo(tokenText(1000));
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
    }

    @Test
    void shouldRecordTheOutcomeAndTheChosenHostWhenARequestHasEnded() {
        fixture.startEngine("runner-1");
        HttpResponse<String> response = fixture.send(fixture.chatRequest(",\"max_tokens\":1"));
        String id = response.headers().firstValue("X-Request-Id").orElseThrow();
        assertThat(fixture.entry().records().find(id)).hasValueSatisfying(requestRecord -> {
            assertThat(requestRecord.outcome()).isEqualTo("complete");
            assertThat(requestRecord.attempts().get(0).choice()).isEqualTo("runner-1");
        });
    }

    @Test
    void shouldForwardAnIdempotentCallWhenAServiceIsConnected() {
        fixture.startService("service-1", "ballots");
        HttpResponse<String> response =
                fixture.send(fixture.request("/services/ballots/status/7?a=b").build());
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("GET /status/7?a=b");
    }

    // -- failures

    /** The caller must receive each token once although the first sidecar is lost after 40 of 100 tokens. */
    @Test
    void shouldResumeTheStreamAtAnotherServerWhenTheLinkIsLost() throws JsonProcessingException {
        FakeSidecar first = fixture.startEngine("runner-1");
        CompletableFuture<Void> sent = new CompletableFuture<>();
        first.setBehaviour((link, message) -> {
            if (message instanceof Message.Submit submit) {
                FakeSidecar.sendStarted(link, submit);
                FakeSidecar.sendTokens(link, submit, 0, 40);
                sent.complete(null);
            }
        });
        CompletableFuture<HttpResponse<String>> response =
                fixture.sendAsync(fixture.chatRequest(",\"max_tokens\":100,\"stream\":true"));
        sent.join();
        fixture.startEngine("runner-2");
        first.close();
        assertThat(streamedText(response.orTimeout(30, TimeUnit.SECONDS).join()))
                .isEqualTo(tokenText(100));
    }

    @Test
    void shouldRetryAtAnotherServerWhenASidecarRejectsTheRequest() {
        FakeSidecar first = fixture.startEngine("runner-1");
        FakeSidecar second = fixture.startEngine("runner-2");
        first.setBehaviour((link, message) -> rejectFirstAttemptOrRespond(second, link, message));
        second.setBehaviour((link, message) -> rejectFirstAttemptOrRespond(first, link, message));
        HttpResponse<String> response = fixture.send(fixture.chatRequest(",\"max_tokens\":3"));
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).contains("\"attempts\":2");
    }

    /** The only sidecar skips tokens at each attempt. The text after the gap must not reach the caller. */
    @Test
    void shouldEndTheStreamWithAnErrorEventWhenItCannotBeResumed() {
        FakeSidecar only = fixture.startEngine("runner-1");
        only.setBehaviour((link, message) -> {
            if (message instanceof Message.Submit submit) {
                FakeSidecar.sendStarted(link, submit);
                FakeSidecar.sendTokens(link, submit, submit.resumeOffset(), submit.resumeOffset() + 1);
                link.send(new Message.Chunk(submit.id(), submit.resumeOffset() + 9, List.of("gap")));
            }
        });
        String body = fixture.send(fixture.chatRequest(",\"max_tokens\":100,\"stream\":true"))
                .body();
        assertThat(body).contains("\"reason\":\"stream_broken\"").contains("\"verdict\":\"ran\"");
        assertThat(body).doesNotContain("[DONE]").doesNotContain("gap");
    }

    @Test
    void shouldCancelTheAttemptWhenTheCallerDisconnects() {
        FakeSidecar only = fixture.startEngine("runner-1");
        CompletableFuture<Void> started = new CompletableFuture<>();
        only.setBehaviour((link, message) -> {
            if (message instanceof Message.Submit submit) {
                FakeSidecar.sendStarted(link, submit);
                started.complete(null);
            }
        });
        CompletableFuture<HttpResponse<String>> response = fixture.sendAsync(fixture.chatRequest(",\"stream\":true"));
        started.join();
        response.cancel(true);
        EntryFixture.await(() -> only.hasReceived(Message.Cancel.class));
        EntryFixture.await(() -> fixture.refusals("caller_gone") == 1);
    }

    // -- draining

    @Test
    void shouldFinishRunningStreamsAndRefuseNewRequestsWhenDraining() throws JsonProcessingException {
        FakeSidecar only = fixture.startEngine("runner-1");
        CompletableFuture<Runnable> finishAction = new CompletableFuture<>();
        only.setBehaviour((link, message) -> {
            if (message instanceof Message.Submit submit) {
                FakeSidecar.sendStarted(link, submit);
                FakeSidecar.sendTokens(link, submit, 0, 5);
                finishAction.complete(() -> finish(link, submit));
            }
        });
        CompletableFuture<HttpResponse<String>> running =
                fixture.sendAsync(fixture.chatRequest(",\"max_tokens\":2000,\"stream\":true"));
        Runnable finish = finishAction.join();
        CompletableFuture<Void> drained = fixture.entry().drain();
        assertThat(fixture.entry().isReady()).isFalse();
        HttpResponse<String> refused = fixture.send(fixture.chatRequest(""));
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.body()).contains("shutting_down").contains("not_run");
        assertThat(drained).isNotDone();
        finish.run();
        assertThat(streamedText(running.orTimeout(30, TimeUnit.SECONDS).join())).isEqualTo(tokenText(2000));
        drained.orTimeout(30, TimeUnit.SECONDS).join();
    }

    // -- support

    private static void finish(Link link, Message.Submit submit) {
        FakeSidecar.sendTokens(link, submit, 5, 2000);
        link.send(new Message.End(submit.id(), 2000, "length", 10, 0));
    }

    /**
     * Rejects the first attempt of the request, at whichever sidecar it arrives, and responds to the second one. Checks
     * that the other sidecar has received an attempt by then.
     */
    private static void rejectFirstAttemptOrRespond(FakeSidecar other, Link link, Message message) {
        if (message instanceof Message.Submit submit && submit.id().number() == 1) {
            link.send(new Message.Refused(submit.id(), Refusal.notRun(Reason.QUEUE_FULL, "full")));
        } else {
            assertThat(other.hasReceived(Message.Submit.class) || !(message instanceof Message.Submit))
                    .isTrue();
            FakeSidecar.respond(link, message);
        }
    }

    private static String tokenText(int tokens) {
        return IntStream.range(0, tokens).mapToObj(offset -> "t" + offset + " ").collect(Collectors.joining());
    }

    private static String streamedText(HttpResponse<String> response) throws JsonProcessingException {
        ObjectMapper mapper = new ObjectMapper();
        StringBuilder text = new StringBuilder();
        for (String line : response.body().lines().toList()) {
            if (line.startsWith("data: {")) {
                text.append(mapper.readTree(line.substring("data: ".length()))
                        .at("/choices/0/delta/content")
                        .asText(""));
            }
        }
        return text.toString();
    }
}
