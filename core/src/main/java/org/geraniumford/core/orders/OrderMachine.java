package org.geraniumford.core.orders;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumford.core.store.TableRow;

/**
 * Decides when an order is sent to one engine. An order requires, in this sequence: the lease on the engine's orders;
 * for an engine that ignores fencing tokens, the end of the earlier holder's lease and of its longest order; a load
 * ticket; and an engine that runs no request. Time is passed in as nanoseconds of a monotonic clock. Not thread-safe.
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
    /** Whether a read of the lease has shown another holder. */
    private boolean hadEarlierHolder;
    /**
     * The latest time at which an order of an earlier holder can end; empty if there was no earlier holder or this
     * process has not written the lease yet.
     */
    private Optional<Long> earlierOrdersEndNanos = Optional.empty();

    private Optional<OrderAction.ReleaseTicket> heldTicket = Optional.empty();
    private boolean quiesced;
    private boolean engineIdle;
    private boolean superseded;
    private long sequence;
    private long stepStartNanos;
    /** The earliest time of the next step towards an order; {@link Long#MIN_VALUE} if no step was delayed yet. */
    private long nextStepNanos = Long.MIN_VALUE;

    private OrderMachine(String holder, long incarnation, OrderTimes times) {
        this.holder = holder;
        this.incarnation = incarnation;
        this.times = times;
        this.tickets = new LoadTickets(ticketHolder(), times.ticketTimeoutNanos());
    }

    // -- construction

    /**
     * Creates a machine without lease and ticket.
     *
     * @param holder the name of this process
     * @param incarnation the incarnation of this process: its start time in microseconds since the epoch
     * @param times the durations that the safety of orders depends on
     * @return a machine that has not observed its engine yet
     */
    public static OrderMachine of(String holder, long incarnation, OrderTimes times) {
        return new OrderMachine(requireNonNull(holder, "holder is null"), incarnation, times);
    }

    // -- commands

    /**
     * Applies an event and returns the actions that follow from it.
     *
     * @param event the event
     * @param nowNanos the current time, in nanoseconds of a monotonic clock
     * @return the actions to perform, in this order
     */
    public List<OrderAction> apply(OrderEvent event, long nowNanos) {
        Step previousStep = inFlight;
        List<OrderAction> actions = new ArrayList<>(failOverdueStep(nowNanos));
        actions.addAll(updateState(event, nowNanos));
        if (inFlight == Step.NONE) {
            actions.addAll(advance(nowNanos));
        }
        stepStartNanos = inFlight == previousStep ? stepStartNanos : nowNanos;
        return actions;
    }

    // -- queries

    /**
     * Returns the value that marks a load ticket as held by this process.
     *
     * @return the name and the incarnation of this process
     */
    public String ticketHolder() {
        return holder + " " + incarnation;
    }

    /**
     * Returns whether a later incarnation of the sidecar has taken over, after which this incarnation sends no further
     * order.
     *
     * @return true once a read of the lease has shown a later incarnation as its holder
     */
    public boolean superseded() {
        return superseded;
    }

    // -- updating the state

    /**
     * Treats a step as failed whose outcome was not received within the ticket timeout; the next read shows its effect.
     */
    private List<OrderAction> failOverdueStep(long nowNanos) {
        return inFlight == Step.NONE || nowNanos - stepStartNanos < times.ticketTimeoutNanos()
                ? List.of()
                : handleFailure(nowNanos);
    }

    private List<OrderAction> updateState(OrderEvent event, long nowNanos) {
        if (event instanceof OrderEvent.EngineObserved observation) {
            observed = Optional.of(observation);
            inFlight = inFlight == Step.READ_BACK ? Step.NONE : inFlight;
        } else if (event instanceof OrderEvent.LeaseRead read) {
            return handleLeaseRead(read.row(), nowNanos);
        } else if (event instanceof OrderEvent.LeaseWritten written) {
            handleLeaseWritten(written.version(), nowNanos);
        } else if (event instanceof OrderEvent.TicketsRead read) {
            return handleTicketsRead(read.rows(), nowNanos);
        } else if (event instanceof OrderEvent.TicketTaken ticket) {
            heldTicket = Optional.of(new OrderAction.ReleaseTicket(ticket.row(), ticket.version()));
            inFlight = Step.NONE;
        } else if (event instanceof OrderEvent.EngineIdle) {
            engineIdle = quiesced;
        } else if (event instanceof OrderEvent.OrderEnded) {
            observed = Optional.empty();
            inFlight = Step.READ_BACK;
            nextStepNanos = nowNanos + times.stepDelayNanos();
        } else if (event instanceof OrderEvent.Conflicted || event instanceof OrderEvent.StoreFailed) {
            return handleFailure(nowNanos);
        }
        return List.of();
    }

    private List<OrderAction> handleLeaseRead(Optional<TableRow> row, long nowNanos) {
        Optional<OrderLease> current = row.map(TableRow::value).flatMap(OrderLease::decode);
        if (row.isPresent() && current.isEmpty()) {
            return handleFailure(nowNanos);
        }
        boolean ownLease = current.filter(this::isOwn).isPresent();
        superseded = current.filter(other -> other.incarnation() > incarnation).isPresent();
        if (superseded) {
            inFlight = Step.NONE;
            return List.of();
        }
        hadEarlierHolder = hadEarlierHolder || (current.isPresent() && !ownLease);
        long term = current.map(OrderLease::term).orElse(0L) + (ownLease ? 0 : 1);
        return List.of(writeLease(
                new OrderLease(term, holder, incarnation),
                row.map(TableRow::version).orElse(0L),
                nowNanos));
    }

    private boolean isOwn(OrderLease other) {
        return other.hasSameHolder(new OrderLease(0, holder, incarnation));
    }

    private OrderAction writeLease(OrderLease newLease, long expectedVersion, long nowNanos) {
        pendingLease = newLease;
        writeStartNanos = nowNanos;
        inFlight = Step.LEASE_WRITE;
        return new OrderAction.WriteLease(newLease, expectedVersion);
    }

    private void handleLeaseWritten(long version, long nowNanos) {
        lease = Optional.of(pendingLease);
        leaseVersion = version;
        leaseEndNanos = writeStartNanos + times.leaseNanos();
        if (hadEarlierHolder && earlierOrdersEndNanos.isEmpty()) {
            earlierOrdersEndNanos = Optional.of(nowNanos + times.leaseNanos() + times.longestOrderNanos());
        }
        inFlight = Step.NONE;
    }

    private List<OrderAction> handleTicketsRead(List<TableRow> rows, long nowNanos) {
        Optional<OrderAction.TakeTicket> freeTicket = tickets.findFree(rows, nowNanos);
        inFlight = freeTicket.isPresent() ? Step.TICKET_WRITE : Step.NONE;
        nextStepNanos = freeTicket.isPresent() ? nextStepNanos : nowNanos + times.stepDelayNanos();
        return freeTicket.<List<OrderAction>>map(List::of).orElse(List.of());
    }

    /**
     * Ends the current step after a failure and reopens the engine; the next step begins after the step delay. After a
     * failed write of the lease, its row must be read again.
     */
    private List<OrderAction> handleFailure(long nowNanos) {
        if (inFlight == Step.LEASE_WRITE) {
            lease = Optional.empty();
        }
        inFlight = Step.NONE;
        nextStepNanos = nowNanos + times.stepDelayNanos();
        return reopen();
    }

    // -- choosing actions

    private List<OrderAction> advance(long nowNanos) {
        Optional<EngineTarget> target = superseded
                ? Optional.empty()
                : observed.flatMap(observation -> observation
                        .target()
                        .filter(engineTarget ->
                                !engineTarget.weightsDigest().equals(observation.loadedWeightsDigest())));
        if (target.isEmpty()) {
            // Without an observation, the engine may still need an order.
            return observed.isPresent() || superseded ? reopenAndReleaseTicket() : List.of();
        }
        return nowNanos - nextStepNanos < 0 && nextStepNanos != Long.MIN_VALUE
                ? List.of()
                : nextActions(target.get(), nowNanos);
    }

    private List<OrderAction> nextActions(EngineTarget target, long nowNanos) {
        boolean fenced =
                observed.filter(OrderEvent.EngineObserved::checksFencing).isPresent();
        if (lease.isEmpty()) {
            return List.of(startStep(Step.LEASE_READ, new OrderAction.ReadLease()));
        } else if (nowNanos >= leaseEndNanos) {
            return List.of(writeLease(lease.get(), leaseVersion, nowNanos));
        } else if (!fenced
                && earlierOrdersEndNanos.filter(endNanos -> nowNanos < endNanos).isPresent()) {
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
        Optional<Long> endNanos = fenced ? Optional.empty() : Optional.of(leaseEndNanos);
        sequence++;
        return List.of(startStep(
                Step.ORDER, new OrderAction.SendOrder(target, lease.get().term(), sequence, endNanos)));
    }

    private OrderAction startStep(Step step, OrderAction action) {
        inFlight = step;
        return action;
    }

    private List<OrderAction> reopenAndReleaseTicket() {
        List<OrderAction> actions = new ArrayList<>(reopen());
        heldTicket.ifPresent(ticket -> {
            actions.add(ticket);
            heldTicket = Optional.empty();
        });
        return actions;
    }

    private List<OrderAction> reopen() {
        boolean wasQuiesced = quiesced;
        quiesced = false;
        engineIdle = false;
        return wasQuiesced ? List.of(new OrderAction.Reopen()) : List.of();
    }

    /** The step whose outcome the machine is waiting for. */
    private enum Step {
        NONE,
        LEASE_READ,
        LEASE_WRITE,
        TICKETS_READ,
        TICKET_WRITE,
        ORDER,
        /** The first observation of the engine after an order, which shows the outcome of the order. */
        READ_BACK
    }
}
