package org.geraniumford.daemon.weights;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.weights.OrderIntent;
import org.geraniumford.transport.log.LogEvent;

/** An order from its record in the lease until the engine holds the weights. */
final class PendingOrder {
    /** How long after the write of an intent its order may be given. */
    static final Duration ISSUE_WINDOW = Duration.ofSeconds(1);

    /** Reports cost the engine time and are priced; the list of servers usually tells first that weights are loaded. */
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(6);

    private final EngineAdmin engines;
    private final BooleanSupplier leaseHeld;
    private final Consumer<OrderIntent> loaded;
    private final ServerState server;
    private final OrderIntent intent;
    private final long fencingToken;
    private final long writtenNanos;
    private boolean reportPending;
    private boolean ended;
    private long reportRequestedNanos;

    /**
     * Creates an order that is not given yet.
     *
     * @param server the engine
     * @param intent the order as it was recorded
     * @param fence the fencing token of the lease
     * @param writtenNanos when the write of the record began
     * @param engines takes the order
     * @param holding says whether the lease is still held
     * @param loaded takes the intent once the engine holds the weights
     */
    PendingOrder(
            ServerState server,
            OrderIntent intent,
            long fence,
            long writtenNanos,
            EngineAdmin engines,
            BooleanSupplier holding,
            Consumer<OrderIntent> loaded) {
        this.server = server;
        this.intent = intent;
        this.fencingToken = fence;
        this.writtenNanos = writtenNanos;
        this.engines = engines;
        this.leaseHeld = holding;
        this.loaded = loaded;
    }

    // -- queries

    String failureDomain() {
        return server.server().failureDomain();
    }

    boolean isFinished() {
        return ended || System.nanoTime() - writtenNanos > ORDER_TIMEOUT.toNanos();
    }

    // -- commands

    void start() {
        requestReport().whenComplete((report, failure) -> {
            if (failure != null) {
                fail();
            } else if (!completeIfLoaded(report) && !report.busy()) {
                issue(report.sequence());
            }
        });
    }

    /** The order may be given anew; until then the server takes requests. */
    private void fail() {
        ended = true;
        server.markLoadFailed();
    }

    private boolean isWithinIssueWindow() {
        return System.nanoTime() - writtenNanos < ISSUE_WINDOW.toNanos();
    }

    private void issue(long sequence) {
        if (!leaseHeld.getAsBoolean() || !isWithinIssueWindow()) {
            fail();
            return;
        }
        WeightsOrder order =
                new WeightsOrder(intent.model(), intent.version(), intent.holder(), fencingToken, sequence);
        engines.order(server.server(), order).whenComplete((accepted, failure) -> {
            LogEvent.of("weights_ordered")
                    .with("server", intent.server())
                    .with("version", intent.version())
                    .with("fence", fencingToken)
                    .with("sequence", sequence)
                    .with("outcome", failure == null ? accepted : failure)
                    .info();
            if (failure != null || !accepted) {
                fail();
            }
        });
    }

    void poll() {
        if (server.weightsVersion(intent.model()).orElse(0) >= intent.version()) {
            loaded("listed");
        } else if (!reportPending && System.nanoTime() - reportRequestedNanos > REPORT_INTERVAL.toNanos()) {
            requestReport().thenAccept(this::completeIfLoaded);
        }
    }

    private CompletableFuture<EngineReport> requestReport() {
        reportPending = true;
        reportRequestedNanos = System.nanoTime();
        return engines.report(server.server()).whenComplete((report, failure) -> {
            reportPending = false;
            if (failure != null) {
                LogEvent.of("report_failed")
                        .with("server", intent.server())
                        .with("cause", failure)
                        .info();
            }
        });
    }

    private boolean completeIfLoaded(EngineReport report) {
        boolean holds = report.weights().getOrDefault(intent.model(), 0) >= intent.version() && !report.busy();
        if (holds) {
            server.recordWeightsVersion(intent.model(), intent.version());
            loaded("reported");
        }
        return holds;
    }

    private void loaded(String source) {
        if (ended) {
            return;
        }
        ended = true;
        loaded.accept(intent.asDone());
        LogEvent.of("weights_loaded")
                .with("server", intent.server())
                .with("version", intent.version())
                .with("source", source)
                .info();
    }
}
