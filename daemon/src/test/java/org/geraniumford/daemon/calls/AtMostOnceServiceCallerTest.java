package org.geraniumford.daemon.calls;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.configuration.PlainService;
import org.geraniumford.core.tokens.AttemptTokenRegistry;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptTokenState;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.entry.ServiceCaller.ServiceRequest;
import org.geraniumford.daemon.entry.SidecarClient;
import org.geraniumford.daemon.store.MemoryStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a call that runs twice, or is refused with a false verdict, when two entries receive the same key or
 * the store is down.
 */
final class AtMostOnceServiceCallerTest {
    private static final long TIMEOUT_SECONDS = 30;
    private static final PlainService SENDS = new PlainService("sends", Set.of("GET"), Duration.ofSeconds(5));

    private final MemoryStore store = new MemoryStore();
    private final FakeSidecarClient sidecars = new FakeSidecarClient();
    private final AtMostOnceServiceCaller firstEntry = AtMostOnceServiceCaller.start(store, sidecars, "entry-1", 1);
    private final AtMostOnceServiceCaller secondEntry = AtMostOnceServiceCaller.start(store, sidecars, "entry-2", 1);

    @AfterEach
    void close() {
        firstEntry.close();
        secondEntry.close();
    }

    @Test
    void shouldReturnTheSameResponseWhenAnotherEntryReceivesTheSameKey() {
        Message.CallResponse response = await(firstEntry.call(request("key", "body")));
        assertThat(response.body()).isEqualTo("run 1");
        Message.CallResponse repeated = awaitRecorded(() -> secondEntry.call(request("key", "body")));
        assertThat(repeated.body()).isEqualTo("run 1");
        assertThat(sidecars.runs).hasValue(1);
    }

    @Test
    void shouldRunOneCallPerKeyWhenManyCallersRaceOnTwoEntries() {
        List<CompletableFuture<Message.CallResponse>> calls = IntStream.range(0, 200)
                .mapToObj(i -> (i % 2 == 0 ? firstEntry : secondEntry).call(request("key-" + i / 4, "body")))
                .toList();
        calls.forEach(call -> call.handle((result, failure) -> 0)
                .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join());
        assertThat(sidecars.runs.get()).isLessThanOrEqualTo(50);
        IntStream.range(0, 50).forEach(i -> awaitRecorded(() -> firstEntry.call(request("key-" + i, "body"))));
        assertThat(sidecars.runs).hasValue(50);
    }

    @Test
    void shouldRefuseWithAConflictWhenTheBodyDiffersForTheSameKey() {
        await(firstEntry.call(request("key", "body")));
        assertRefused(secondEntry.call(request("key", "other")), Reason.IDEMPOTENCY_CONFLICT, Verdict.NOT_RUN);
        assertThat(sidecars.runs).hasValue(1);
    }

    @Test
    void shouldRefuseAsNotRunWithRetryAfterWhenTheStoreIsDown() {
        store.setDown(true);
        assertRefused(firstEntry.call(request("key", "body")), Reason.STORE_UNAVAILABLE, Verdict.NOT_RUN);
        assertThat(sidecars.runs).hasValue(0);
    }

    @Test
    void shouldWriteNoClaimWhenNoHostServesTheService() {
        sidecars.hosts = List.of();
        assertRefused(firstEntry.call(request("key", "body")), Reason.NO_BACKEND, Verdict.NOT_RUN);
        assertThat(store.transactions()).isZero();
    }

    // -- helpers

    private static void assertRefused(CompletableFuture<Message.CallResponse> call, Reason reason, Verdict verdict) {
        assertThatThrownBy(() -> await(call))
                .hasCauseInstanceOf(RefusalException.class)
                .satisfies(failure -> {
                    var refusal = RefusalException.refusalOf(failure, Verdict.RAN);
                    assertThat(refusal.reason()).isEqualTo(reason);
                    assertThat(refusal.verdict()).isEqualTo(verdict);
                    assertThat(refusal.retryAfter().isZero()).isEqualTo(!reason.retryable());
                });
    }

    private static Message.CallResponse await(CompletableFuture<Message.CallResponse> call) {
        return call.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    /** Retries a call while an earlier one with its key is still in progress. */
    private static Message.CallResponse awaitRecorded(Supplier<CompletableFuture<Message.CallResponse>> call) {
        return call.get()
                .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .exceptionallyCompose(failure -> {
                    Reason reason =
                            RefusalException.refusalOf(failure, Verdict.RAN).reason();
                    return reason == Reason.CALL_IN_PROGRESS
                            ? CompletableFuture.supplyAsync(() -> awaitRecorded(call))
                            : CompletableFuture.failedFuture(failure);
                })
                .join();
    }

    private static ServiceRequest request(String key, String body) {
        Customer customer = new Customer("amahoro", "Amahoro", Set.of(), 1, Set.of(), Set.of(), 0, 0, 0);
        return new ServiceRequest("r-1", customer, SENDS, "POST", "/sends", "text/plain", body, Optional.of(key));
    }

    /** The client of a plain service behind one sidecar, which runs at most one call with each attempt token. */
    private static final class FakeSidecarClient implements SidecarClient {
        private final AttemptTokenRegistry tokens = AttemptTokenRegistry.start(0, Duration.ZERO, 10_000);
        private final AtomicInteger runs = new AtomicInteger();
        private volatile List<String> hosts = List.of("service-1");

        @Override
        public List<String> candidates(String name) {
            return hosts;
        }

        @Override
        public synchronized CompletableFuture<Message.CallResponse> call(String host, Message.Call call) {
            return tokens.tryUse(call.attemptToken(), call.tokenIssuedMicros())
                    .map(refusal -> CompletableFuture.<Message.CallResponse>failedFuture(refusal.toException()))
                    .orElseGet(() -> CompletableFuture.completedFuture(
                            new Message.CallResponse(call.id(), 201, "text/plain", "run " + runs.incrementAndGet())));
        }

        @Override
        public synchronized CompletableFuture<AttemptTokenState> closeToken(
                String host, String token, long issuedMicros) {
            return CompletableFuture.completedFuture(tokens.close(token, issuedMicros));
        }
    }
}
