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
    private Optional<OrderEvent.Observed> observed = Optional.empty();
    private Optional<OrderLease> lease = Optional.empty();
    private OrderLease writing;
    private long leaseVersion;
    private long writeBegan;
    private long leaseEnd = Long.MIN_VALUE;
    private boolean earlierHolder;
    private Optional<Long> quietUntil = Optional.empty();
    private Optional<OrderAction.GiveTicket> ticket = Optional.empty();
    private boolean quiesced;
    private boolean quiet;
    private boolean superseded;
    private long sequence;
    private long stepBegan;
    private long retryAt = Long.MIN_VALUE;

    private OrderMachine(String holder, long incarnation, OrderTimes times) {
        this.holder = holder;
        this.incarnation = incarnation;
        this.times = times;
        this.tickets = new LoadTickets(owner(), times.ticketNanos());
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
        List<OrderAction> actions = new ArrayList<>(overdue(now));
        actions.addAll(learn(event, now));
        if (inFlight == Step.NONE) {
            actions.addAll(advance(now));
        }
        stepBegan = inFlight == before ? stepBegan : now;
        return actions;
    }

    // -- queries

    /**
     * Returns the value by which the own load ticket is known.
     *
     * @return the process's name and start
     */
    public String owner() {
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
    private List<OrderAction> overdue(long now) {
        return inFlight == Step.NONE || now - stepBegan < times.ticketNanos() ? List.of() : failed(now);
    }

    private List<OrderAction> learn(OrderEvent event, long now) {
        if (event instanceof OrderEvent.Observed seen) {
            observed = Optional.of(seen);
            inFlight = inFlight == Step.READ_BACK ? Step.NONE : inFlight;
        } else if (event instanceof OrderEvent.LeaseRead read) {
            return leaseRead(read.row(), now);
        } else if (event instanceof OrderEvent.LeaseWritten written) {
            leaseWritten(written.version(), now);
        } else if (event instanceof OrderEvent.TicketsRead read) {
            return ticketsRead(read.rows(), now);
        } else if (event instanceof OrderEvent.TicketTaken taken) {
            ticket = Optional.of(new OrderAction.GiveTicket(taken.row(), taken.version()));
            inFlight = Step.NONE;
        } else if (event instanceof OrderEvent.Quiet) {
            quiet = quiesced;
        } else if (event instanceof OrderEvent.Ordered) {
            observed = Optional.empty();
            inFlight = Step.READ_BACK;
            retryAt = now + times.retryNanos();
        } else if (event instanceof OrderEvent.Conflicted || event instanceof OrderEvent.StoreFailed) {
            return failed(now);
        }
        return List.of();
    }

    private List<OrderAction> leaseRead(Optional<TableRow> row, long now) {
        Optional<OrderLease> found = row.map(TableRow::value).flatMap(OrderLease::decode);
        if (row.isPresent() && found.isEmpty()) {
            return failed(now);
        }
        boolean own = found.filter(this::isOwn).isPresent();
        superseded = found.filter(other -> other.incarnation() > incarnation).isPresent();
        if (superseded) {
            inFlight = Step.NONE;
            return List.of();
        }
        earlierHolder = earlierHolder || (found.isPresent() && !own);
        long term = found.map(OrderLease::term).orElse(0L) + (own ? 0 : 1);
        return List.of(write(
                new OrderLease(term, holder, incarnation),
                row.map(TableRow::version).orElse(0L),
                now));
    }

    private boolean isOwn(OrderLease other) {
        return other.sameHolder(new OrderLease(0, holder, incarnation));
    }

    private OrderAction write(OrderLease value, long expect, long now) {
        writing = value;
        writeBegan = now;
        inFlight = Step.LEASE_WRITE;
        return new OrderAction.WriteLease(value, expect);
    }

    private void leaseWritten(long version, long now) {
        lease = Optional.of(writing);
        leaseVersion = version;
        leaseEnd = writeBegan + times.leaseNanos();
        if (earlierHolder && quietUntil.isEmpty()) {
            quietUntil = Optional.of(now + times.leaseNanos() + times.longestOrderNanos());
        }
        inFlight = Step.NONE;
    }

    private List<OrderAction> ticketsRead(List<TableRow> rows, long now) {
        Optional<OrderAction.TakeTicket> free = tickets.choose(rows, now);
        inFlight = free.isPresent() ? Step.TICKET_WRITE : Step.NONE;
        retryAt = free.isPresent() ? retryAt : now + times.retryNanos();
        return free.<List<OrderAction>>map(List::of).orElse(List.of());
    }

    /** After a failed write the row must be read again; requests are let through meanwhile. */
    private List<OrderAction> failed(long now) {
        if (inFlight == Step.LEASE_WRITE) {
            lease = Optional.empty();
        }
        inFlight = Step.NONE;
        retryAt = now + times.retryNanos();
        return reopen();
    }

    // -- deciding

    private List<OrderAction> advance(long now) {
        Optional<Target> target = superseded
                ? Optional.empty()
                : observed.flatMap(seen ->
                        seen.target().filter(wanted -> !wanted.weightsDigest().equals(seen.heldWeights())));
        if (target.isEmpty()) {
            return observed.isPresent() || superseded ? finish() : List.of();
        }
        return now - retryAt < 0 && retryAt != Long.MIN_VALUE ? List.of() : towards(target.get(), now);
    }

    private List<OrderAction> towards(Target target, long now) {
        boolean fenced = observed.filter(OrderEvent.Observed::checksFencing).isPresent();
        if (lease.isEmpty()) {
            return List.of(begin(Step.LEASE_READ, new OrderAction.ReadLease()));
        } else if (now >= leaseEnd) {
            return List.of(write(lease.get(), leaseVersion, now));
        } else if (!fenced && quietUntil.filter(end -> now < end).isPresent()) {
            return List.of();
        } else if (ticket.isEmpty()) {
            return List.of(begin(Step.TICKETS_READ, new OrderAction.ReadTickets()));
        } else if (!quiesced) {
            quiesced = true;
            quiet = false;
            return List.of(new OrderAction.Quiesce());
        } else if (!quiet) {
            return List.of();
        }
        Optional<Long> end = fenced ? Optional.empty() : Optional.of(leaseEnd);
        sequence++;
        return List.of(
                begin(Step.ORDER, new OrderAction.Send(target, lease.get().term(), sequence, end)));
    }

    private OrderAction begin(Step step, OrderAction action) {
        inFlight = step;
        return action;
    }

    private List<OrderAction> finish() {
        List<OrderAction> actions = new ArrayList<>(reopen());
        ticket.ifPresent(taken -> {
            actions.add(taken);
            ticket = Optional.empty();
        });
        return actions;
    }

    private List<OrderAction> reopen() {
        boolean closed = quiesced;
        quiesced = false;
        quiet = false;
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
