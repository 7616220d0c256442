package org.geraniumford.core.orders;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumford.core.store.TableRow;

/**
 * Decides when one engine gets an order. An order needs, one after the other: the lease on the engine's orders; for an
 * engine that ignores fencing numbers, the end of the earlier holder's lease and of its longest order; a load ticket;
 * and a quiet engine. Time is passed in as nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class OrderMachine {
    private final String holder;
    private final long incarnation;
    private final OrderTimes times;
    private final LoadTickets tickets;
    private Step inFlight = Step.NONE;
    private Optional<OrderEvent.EngineObserved> observed = Optional.empty();
    private Optional<OrderLease> lease = Optional.empty();
    private OrderLease pendingLease;
    private long leaseVersion;
    private long writeStartNanos;
    private long leaseEndNanos = Long.MIN_VALUE;
    private boolean hadEarlierHolder;
    private Optional<Long> earlierOrdersEndNanos = Optional.empty();
    private Optional<OrderAction.ReleaseTicket> heldTicket = Optional.empty();
    private boolean quiesced;
    private boolean engineIdle;
    private boolean superseded;
    private long sequence;
    private long stepStartNanos;
    private long retryAtNanos = Long.MIN_VALUE;

    private OrderMachine(String holder, long incarnation, OrderTimes times) {
        this.holder = holder;
        this.incarnation = incarnation;
        this.times = times;
        this.tickets = new LoadTickets(ticketHolder(), times.ticketTimeoutNanos());
    }

    // -- construction

    /**
     * Creates a machine that holds nothing.
     *
     * @param holder the process's name
     * @param incarnation the process's start, in microseconds since the epoch
     * @param times the durations that make orders safe
     * @return a machine that knows nothing of its engine yet
     */
    public static OrderMachine of(String holder, long incarnation, OrderTimes times) {
        return new OrderMachine(requireNonNull(holder, "holder is null"), incarnation, times);
    }

    // -- commands

    /**
     * Learns an event and decides what to do.
     *
     * @param event what happened
     * @param now the present time
     * @return what to do, in this order
     */
    public List<OrderAction> apply(OrderEvent event, long now) {
        Step before = inFlight;
        List<OrderAction> actions = new ArrayList<>(failOverdueStep(now));
        actions.addAll(updateState(event, now));
        if (inFlight == Step.NONE) {
            actions.addAll(advance(now));
        }
        stepStartNanos = inFlight == before ? stepStartNanos : now;
        return actions;
    }

    // -- queries

    /**
     * Returns the value by which the own load ticket is known.
     *
     * @return the process's name and start
     */
    public String ticketHolder() {
        return holder + " " + incarnation;
    }

    /**
     * Says whether a later start of the sidecar has taken over, after which this one never orders again.
     *
     * @return true once the lease was seen in the hands of a later start
     */
    public boolean superseded() {
        return superseded;
    }

    // -- learning

    /** An outcome that never came counts as a failure, whose effect the next read shows. */
    private List<OrderAction> failOverdueStep(long now) {
        return inFlight == Step.NONE || now - stepStartNanos < times.ticketTimeoutNanos()
                ? List.of()
                : handleFailure(now);
    }

    private List<OrderAction> updateState(OrderEvent event, long now) {
        if (event instanceof OrderEvent.EngineObserved seen) {
            observed = Optional.of(seen);
            inFlight = inFlight == Step.READ_BACK ? Step.NONE : inFlight;
        } else if (event instanceof OrderEvent.LeaseRead read) {
            return handleLeaseRead(read.row(), now);
        } else if (event instanceof OrderEvent.LeaseWritten written) {
            handleLeaseWritten(written.version(), now);
        } else if (event instanceof OrderEvent.TicketsRead read) {
            return handleTicketsRead(read.rows(), now);
        } else if (event instanceof OrderEvent.TicketTaken taken) {
            heldTicket = Optional.of(new OrderAction.ReleaseTicket(taken.row(), taken.version()));
            inFlight = Step.NONE;
        } else if (event instanceof OrderEvent.EngineIdle) {
            engineIdle = quiesced;
        } else if (event instanceof OrderEvent.OrderEnded) {
            observed = Optional.empty();
            inFlight = Step.READ_BACK;
            retryAtNanos = now + times.retryDelayNanos();
        } else if (event instanceof OrderEvent.Conflicted || event instanceof OrderEvent.StoreFailed) {
            return handleFailure(now);
        }
        return List.of();
    }

    private List<OrderAction> handleLeaseRead(Optional<TableRow> row, long now) {
        Optional<OrderLease> found = row.map(TableRow::value).flatMap(OrderLease::decode);
        if (row.isPresent() && found.isEmpty()) {
            return handleFailure(now);
        }
        boolean own = found.filter(this::isOwn).isPresent();
        superseded = found.filter(other -> other.incarnation() > incarnation).isPresent();
        if (superseded) {
            inFlight = Step.NONE;
            return List.of();
        }
        hadEarlierHolder = hadEarlierHolder || (found.isPresent() && !own);
        long term = found.map(OrderLease::term).orElse(0L) + (own ? 0 : 1);
        return List.of(writeLease(
                new OrderLease(term, holder, incarnation),
                row.map(TableRow::version).orElse(0L),
                now));
    }

    private boolean isOwn(OrderLease other) {
        return other.hasSameHolder(new OrderLease(0, holder, incarnation));
    }

    private OrderAction writeLease(OrderLease value, long expect, long now) {
        pendingLease = value;
        writeStartNanos = now;
        inFlight = Step.LEASE_WRITE;
        return new OrderAction.WriteLease(value, expect);
    }

    private void handleLeaseWritten(long version, long now) {
        lease = Optional.of(pendingLease);
        leaseVersion = version;
        leaseEndNanos = writeStartNanos + times.leaseNanos();
        if (hadEarlierHolder && earlierOrdersEndNanos.isEmpty()) {
            earlierOrdersEndNanos = Optional.of(now + times.leaseNanos() + times.longestOrderNanos());
        }
        inFlight = Step.NONE;
    }

    private List<OrderAction> handleTicketsRead(List<TableRow> rows, long now) {
        Optional<OrderAction.TakeTicket> free = tickets.findFree(rows, now);
        inFlight = free.isPresent() ? Step.TICKET_WRITE : Step.NONE;
        retryAtNanos = free.isPresent() ? retryAtNanos : now + times.retryDelayNanos();
        return free.<List<OrderAction>>map(List::of).orElse(List.of());
    }

    /** After a failed write the row must be read again; requests are let through meanwhile. */
    private List<OrderAction> handleFailure(long now) {
        if (inFlight == Step.LEASE_WRITE) {
            lease = Optional.empty();
        }
        inFlight = Step.NONE;
        retryAtNanos = now + times.retryDelayNanos();
        return reopen();
    }

    // -- deciding

    private List<OrderAction> advance(long now) {
        Optional<EngineTarget> target = superseded
                ? Optional.empty()
                : observed.flatMap(seen ->
                        seen.target().filter(wanted -> !wanted.weightsDigest().equals(seen.heldWeightsDigest())));
        if (target.isEmpty()) {
            return observed.isPresent() || superseded ? finish() : List.of();
        }
        return now - retryAtNanos < 0 && retryAtNanos != Long.MIN_VALUE ? List.of() : nextActions(target.get(), now);
    }

    private List<OrderAction> nextActions(EngineTarget target, long now) {
        boolean fenced =
                observed.filter(OrderEvent.EngineObserved::checksFencing).isPresent();
        if (lease.isEmpty()) {
            return List.of(startStep(Step.LEASE_READ, new OrderAction.ReadLease()));
        } else if (now >= leaseEndNanos) {
            return List.of(writeLease(lease.get(), leaseVersion, now));
        } else if (!fenced && earlierOrdersEndNanos.filter(end -> now < end).isPresent()) {
            return List.of();
        } else if (heldTicket.isEmpty()) {
            return List.of(startStep(Step.TICKETS_READ, new OrderAction.ReadTickets()));
        } else if (!quiesced) {
            quiesced = true;
            engineIdle = false;
            return List.of(new OrderAction.Quiesce());
        } else if (!engineIdle) {
            return List.of();
        }
        Optional<Long> end = fenced ? Optional.empty() : Optional.of(leaseEndNanos);
        sequence++;
        return List.of(startStep(
                Step.ORDER, new OrderAction.SendOrder(target, lease.get().term(), sequence, end)));
    }

    private OrderAction startStep(Step step, OrderAction action) {
        inFlight = step;
        return action;
    }

    private List<OrderAction> finish() {
        List<OrderAction> actions = new ArrayList<>(reopen());
        heldTicket.ifPresent(taken -> {
            actions.add(taken);
            heldTicket = Optional.empty();
        });
        return actions;
    }

    private List<OrderAction> reopen() {
        boolean closed = quiesced;
        quiesced = false;
        engineIdle = false;
        return closed ? List.of(new OrderAction.Reopen()) : List.of();
    }

    /** What the machine waits for. */
    private enum Step {
        NONE,
        LEASE_READ,
        LEASE_WRITE,
        TICKETS_READ,
        TICKET_WRITE,
        ORDER,
        READ_BACK
    }
}
