package org.geraniumford.core.admission;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** The waiting requests of one customer and its place in the fair order. */
final class CustomerQueue {
    private final NavigableSet<QueuedRequest> waiting = new TreeSet<>(
            Comparator.<QueuedRequest>comparingInt(next -> next.request().priority())
                    .thenComparingLong(QueuedRequest::arrivalNumber));
    private int weight = 1;
    private double startTag;
    private double queuedCost;

    // -- commands

    /** Adds a request; a customer that had none waiting starts no earlier than the others are now. */
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

    /** Charges work that starts now. */
    void charge(double spent) {
        startTag += spent / weight;
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

    /** The queued work relative to the customer's share. */
    double costPerWeight() {
        return queuedCost / weight;
    }

    /** The start tag of a further request of a given priority. */
    double startTagOf(int priority, double virtualTime) {
        double ahead = ahead(priority).mapToDouble(QueuedRequest::cost).sum();
        return (waiting.isEmpty() ? Math.max(startTag, virtualTime) : startTag) + ahead / weight;
    }

    /** The time of this customer's own requests that are served before a further one, in nanoseconds. */
    double nanosAhead(int priority) {
        return ahead(priority).mapToDouble(QueuedRequest::occupiedNanos).sum();
    }

    /** The time of this customer's requests that start before another customer's with a given tag, in nanoseconds. */
    double nanosBefore(double tag) {
        double served = Math.min(queuedCost, (tag - startTag) * weight);
        return waiting.isEmpty() || served <= 0 || queuedCost <= 0
                ? 0
                : served
                        / queuedCost
                        * waiting.stream()
                                .mapToDouble(QueuedRequest::occupiedNanos)
                                .sum();
    }

    private Stream<QueuedRequest> ahead(int priority) {
        return waiting.stream().filter(next -> next.request().priority() <= priority);
    }

    /**
     * A request that waits.
     *
     * @param request the request
     * @param arrivalNumber the order of arrival
     * @param cost the work charged to the customer, in nanoseconds of the engine
     * @param occupiedNanos the time for which it delays the requests after it, in nanoseconds
     */
    record QueuedRequest(AdmissionRequest request, long arrivalNumber, double cost, double occupiedNanos) {}
}
