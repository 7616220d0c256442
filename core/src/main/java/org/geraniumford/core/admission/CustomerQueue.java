package org.geraniumford.core.admission;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The queued requests of one customer and its start tag in start-time fair queueing. Start tags and the virtual time
 * are in nanoseconds of engine time per unit of weight.
 */
final class CustomerQueue {
    private final NavigableSet<QueuedRequest> waiting = new TreeSet<>(
            Comparator.<QueuedRequest>comparingInt(queued -> queued.request().priority())
                    .thenComparingLong(QueuedRequest::arrivalNumber));
    private int weight = 1;
    private double startTag;
    private double queuedCost;

    // -- commands

    /**
     * Adds a request. A customer without queued requests starts no earlier than the current virtual time, so that it
     * gains no advantage from the time in which it sent nothing.
     */
    void add(QueuedRequest added, double virtualTime) {
        if (waiting.isEmpty()) {
            startTag = Math.max(startTag, virtualTime);
        }
        weight = added.request().weight();
        waiting.add(added);
        queuedCost += added.cost();
    }

    void remove(QueuedRequest removed) {
        if (waiting.remove(removed)) {
            queuedCost = waiting.isEmpty() ? 0 : queuedCost - removed.cost();
        }
    }

    /** Charges the customer for a request that is forwarded now; the cost is in nanoseconds of engine time. */
    void charge(double cost) {
        startTag += cost / weight;
    }

    // -- queries

    Optional<QueuedRequest> first(Predicate<QueuedRequest> eligible) {
        return waiting.stream().filter(eligible).findFirst();
    }

    Optional<QueuedRequest> last() {
        return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.last());
    }

    Stream<QueuedRequest> stream() {
        return waiting.stream();
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    double startTag() {
        return startTag;
    }

    /** Returns the queued work relative to the customer's weight, in nanoseconds of engine time. */
    double costPerWeight() {
        return queuedCost / weight;
    }

    /** Returns the start tag that a new request of a given priority would get. */
    double startTagOf(int priority, double virtualTime) {
        double costAhead =
                requestsAhead(priority).mapToDouble(QueuedRequest::cost).sum();
        return (waiting.isEmpty() ? Math.max(startTag, virtualTime) : startTag) + costAhead / weight;
    }

    /**
     * Returns the time, in nanoseconds, by which the customer's queued requests delay a new one of a given priority.
     */
    double nanosAhead(int priority) {
        return requestsAhead(priority).mapToDouble(QueuedRequest::occupiedNanos).sum();
    }

    /**
     * Returns the time, in nanoseconds, by which the customer's queued requests delay another customer's request with a
     * given start tag. Of the queued work, only the fraction counts that is served before that tag.
     */
    double nanosBefore(double otherStartTag) {
        double costBefore = Math.min(queuedCost, (otherStartTag - startTag) * weight);
        return waiting.isEmpty() || costBefore <= 0 || queuedCost <= 0
                ? 0
                : costBefore
                        / queuedCost
                        * waiting.stream()
                                .mapToDouble(QueuedRequest::occupiedNanos)
                                .sum();
    }

    private Stream<QueuedRequest> requestsAhead(int priority) {
        return waiting.stream().filter(queued -> queued.request().priority() <= priority);
    }

    /**
     * A queued request.
     *
     * @param request the request
     * @param arrivalNumber the number of the request in the order of arrival
     * @param cost the work charged to the customer, in nanoseconds of engine time
     * @param occupiedNanos the time by which the request delays those after it, in nanoseconds
     */
    record QueuedRequest(AdmissionRequest request, long arrivalNumber, double cost, double occupiedNanos) {}
}
