package org.geraniumford.daemon.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.membership.HostKind;
import org.geraniumford.core.membership.HostState;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.junit.jupiter.api.Test;

final class HostDirectoryTest {
    private static final long TIMEOUT_SECONDS = 30;
    private static final Host HOST = new Host("runner-1", HostKind.RUNNER, "127.0.0.1:1", "kigali-a", HostState.LIVE);

    @Test
    void shouldKeepTheLastListWhenThePlatformStopsResponding() throws InterruptedException {
        AtomicReference<CompletableFuture<List<Host>>> response =
                new AtomicReference<>(CompletableFuture.completedFuture(List.of(HOST)));
        CountDownLatch failedReads = new CountDownLatch(2);
        try (HostDirectory directory = HostDirectory.start(
                () -> {
                    CompletableFuture<List<Host>> current = response.get();
                    if (current.isCompletedExceptionally()) {
                        failedReads.countDown();
                    }
                    return current;
                },
                1)) {
            directory.loaded().orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
            response.set(CompletableFuture.failedFuture(
                    Refusal.notRun(Reason.STORE_UNAVAILABLE, "down").toException()));
            assertThat(failedReads.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
            assertThat(directory.hosts()).containsExactly(HOST);
        }
    }

    @Test
    void shouldNotifyListenersOnlyWhenTheListChanges() throws InterruptedException {
        AtomicInteger reads = new AtomicInteger();
        AtomicInteger changes = new AtomicInteger();
        CountDownLatch fourReads = new CountDownLatch(4);
        try (HostDirectory directory = HostDirectory.start(
                () -> {
                    fourReads.countDown();
                    return CompletableFuture.completedFuture(reads.getAndIncrement() < 2 ? List.of() : List.of(HOST));
                },
                1)) {
            directory.onChange(changes::incrementAndGet);
            assertThat(fourReads.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(changes).hasValue(1);
    }
}
