package org.geraniumford.daemon.sidecar;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Checks at intervals whether the plain service accepts connections. */
final class ServiceMonitor implements BackendMonitor {
    private static final long CHECK_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

    private final Supplier<CompletableFuture<Boolean>> check;
    private final BackendState upState;
    private final EventRing ring;
    private long nextCheckNanos;
    private volatile boolean checking;

    private ServiceMonitor(
            Supplier<CompletableFuture<Boolean>> check, BackendState upState, EventRing ring, long nowNanos) {
        this.check = check;
        this.upState = upState;
        this.ring = ring;
        this.nextCheckNanos = nowNanos;
    }

    // -- construction

    /**
     * Creates a monitor.
     *
     * @param check completes with whether the service accepts connections
     * @param upState the state that is observed while the service accepts connections
     * @param ring receives the observed states
     * @param nowNanos when the first check is due, as of {@link System#nanoTime}
     * @return the monitor
     */
    static ServiceMonitor of(
            Supplier<CompletableFuture<Boolean>> check, BackendState upState, EventRing ring, long nowNanos) {
        return new ServiceMonitor(check, upState, ring, nowNanos);
    }

    // -- commands

    @Override
    public void tick(long nowNanos) {
        if (checking || nowNanos - nextCheckNanos < 0) {
            return;
        }
        checking = true;
        nextCheckNanos = nowNanos + CHECK_INTERVAL_NANOS;
        check.get().whenComplete((accepts, failure) -> {
            boolean isUp = failure == null && accepts;
            ring.offer(new SidecarEvent.BackendObserved(isUp ? upState : BackendState.down(upState.service())));
            checking = false;
        });
    }
}
