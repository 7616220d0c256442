package org.geraniumford.daemon.weights;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.time.LocalClock;
import org.geraniumford.core.weights.IssueWindow;
import org.geraniumford.core.weights.OrderIntent;
import org.geraniumford.core.weights.OrderProgress;
import org.geraniumford.daemon.gateway.ServerLimits;
import org.geraniumford.transport.log.LogEvent;

/** An order from the write of its intent into the lease until the engine has loaded the weights. */
final class PendingOrder {
    /** The time in which an order may be issued, counted from the start of the write of its intent. */
    static final Duration ISSUE_WINDOW = Duration.ofSeconds(1);

    /**
     * The minimum time between two reports. Reports cost engine time and are billed, and the server list usually shows
     * earlier that weights are loaded.
     */
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

    /**
     * The time after which an order is dropped so that a new one may be issued, counted from the start of the write of
     * its intent, or from the last report that the engine is still carrying it out.
     */
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(6);

    private final EngineAdmin engines;
    private final LocalClock clock;
    private final ServerLimits limits;
    private final LongPredicate termHeld;
    private final OrderListener listener;
    private final ServerState server;
    private final OrderIntent intent;
    private final IssueWindow issueWindow;
    private boolean reportPending;
    private boolean issued;
    private boolean answered;
    private boolean ended;

    /** When the write of the intent began, or when the engine last reported that it is carrying out the order. */
    private long confirmedNanos;

    private long reportRequestedNanos;

    /**
     * Creates an order that is not issued yet.
     *
     * @param server the engine
     * @param intent the intent as it was written into the lease
     * @param issueWindow the time in which the order may be issued, opened when the write of the intent began
     * @param engines the client that sends orders to engines
     * @param clock the clocks of this process
     * @param limits the limits of servers, which reports and orders count against
     * @param termHeld returns whether this process may still order engines in the term of a fencing token
     * @param listener receives what becomes of the order
     */
    PendingOrder(
            ServerState server,
            OrderIntent intent,
            IssueWindow issueWindow,
            EngineAdmin engines,
            LocalClock clock,
            ServerLimits limits,
            LongPredicate termHeld,
            OrderListener listener) {
        this.server = server;
        this.intent = intent;
        this.issueWindow = issueWindow;
        this.confirmedNanos = issueWindow.startNanos();
        this.engines = engines;
        this.clock = clock;
        this.limits = limits;
        this.termHeld = termHeld;
        this.listener = listener;
    }

    // -- queries

    String failureDomain() {
        return server.server().failureDomain();
    }

    /** Returns the intent, with how far the order has got. */
    OrderIntent intent() {
        return answered ? intent.with(OrderProgress.ANSWERED) : intent;
    }

    boolean isFinished() {
        return ended || clock.nanos() - confirmedNanos > ORDER_TIMEOUT.toNanos();
    }

    /** Returns the time since the write of the intent began. */
    Duration sinceWrite() {
        return Duration.ofNanos(clock.nanos() - issueWindow.startNanos());
    }

    // -- commands

    /**
     * Requests a report, then issues the order unless the engine has loaded the weights. The order fails if no report
     * arrives. While the engine is carrying out another order, this one is not issued. It then stays pending until a
     * report says that the engine has done so, the weights are loaded or {@link #ORDER_TIMEOUT} has passed.
     */
    void start() {
        requestReport().whenComplete((report, failure) -> {
            if (failure != null) {
                listener.unanswered(intent.server());
                fail();
            } else {
                applyReport(report);
            }
        });
    }

    private void applyReport(EngineReport report) {
        if (answered && report.busy()) {
            confirmedNanos = clock.nanos();
        }
        if (!ended && !completeIfLoaded(report) && !report.busy() && !issued) {
            issue(report.sequence());
        }
    }

    /** Ends this order, because another process holds the lease: what becomes of it concerns that one. */
    void drop() {
        ended = true;
    }

    /** Ends this order. A new one may be issued; until then the server receives requests. */
    private void fail() {
        if (ended) {
            return;
        }
        ended = true;
        server.markLoadFailed();
    }

    private void issue(long expectedSequence) {
        if (!isPermitted()) {
            fail();
            return;
        }
        issued = true;
        WeightsOrder order = new WeightsOrder(
                intent.model(), intent.version(), intent.holder(), intent.key().fencingToken(), expectedSequence);
        limits.recordUse(server);
        engines.order(server.server(), order, this::permitSending).whenComplete((accepted, failure) -> {
            LogEvent.of("weights_ordered")
                    .with("server", intent.server())
                    .with("version", intent.version())
                    .with("fence", intent.key().fencingToken())
                    .with("sequence", expectedSequence)
                    .with("outcome", failure == null ? accepted : failure)
                    .info();
            answered = failure == null;
            if (answered) {
                listener.answered(intent.server());
            } else {
                listener.unanswered(intent.server());
            }
            if (failure != null || !accepted) {
                fail();
            }
        });
    }

    private boolean isPermitted() {
        return !ended && termHeld.test(intent.key().fencingToken()) && issueWindow.isOpen(clock);
    }

    /** Decides when the bytes of the order are about to be written. */
    private boolean permitSending() {
        boolean permitted = isPermitted();
        LogEvent.of(permitted ? "order_sent" : "order_withheld")
                .with("server", intent.server())
                .with("fence", intent.key().fencingToken())
                .with("row", intent.key().rowVersion())
                .with("since_write_ms", sinceWrite().toMillis())
                .info();
        return permitted;
    }

    /** Completes the order if the weights are known to be loaded; otherwise requests a report when one is due. */
    void poll() {
        if (server.weightsVersion(intent.model()).orElse(0) >= intent.version()) {
            complete("listed");
        } else if (isReportDue() && limits.hasRoom(server) && !server.pause().isPaused(clock.nanos())) {
            requestReport().thenAccept(this::applyReport);
        }
    }

    private boolean isReportDue() {
        return !reportPending && clock.nanos() - reportRequestedNanos > REPORT_INTERVAL.toNanos();
    }

    private CompletableFuture<EngineReport> requestReport() {
        limits.recordUse(server);
        reportPending = true;
        reportRequestedNanos = clock.nanos();
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
        boolean loaded = report.weights().getOrDefault(intent.model(), 0) >= intent.version() && !report.busy();
        if (loaded) {
            server.recordWeightsVersion(intent.model(), intent.version());
            complete("reported");
        }
        return loaded;
    }

    private void complete(String source) {
        if (ended) {
            return;
        }
        ended = true;
        listener.loaded(intent.with(OrderProgress.DONE), sinceWrite());
        LogEvent.of("weights_loaded")
                .with("server", intent.server())
                .with("version", intent.version())
                .with("source", source)
                .info();
    }
}
