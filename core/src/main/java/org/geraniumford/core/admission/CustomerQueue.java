package org.geraniumford.core.admission;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** The waiting requests of one customer and its place in the fair order. */
final class CustomerQueue {
    private final NavigableSet<Waiting> waiting = new TreeSet<>(
            Comparator.<Waiting>comparingInt(next -> next.request().priority()).thenComparingLong(Waiting::order));
    private int weight = 1;
    private double startTag;
    private double cost;

    // -- commands

    /** Adds a request; a customer that had none waiting starts no earlier than the others are now. */
    void add(Waiting added, double virtualTime) {
        if (waiting.isEmpty()) {
            startTag = Math.max(startTag, virtualTime);
        }
        weight = added.request().weight();
        waiting.add(added);
        cost += added.cost();
    }

    void remove(Waiting removed) {
        if (waiting.remove(removed)) {
            cost = waiting.isEmpty() ? 0 : cost - removed.cost();
        }
    }

    /** Charges work that starts now. */
    void charge(double spent) {
        startTag += spent / weight;
    }

    // -- queries

    Optional<Waiting> first(Predicate<Waiting> eligible) {
        return waiting.stream().filter(eligible).findFirst();
    }

    Optional<Waiting> last() {
        return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.last());
    }

    Stream<Waiting> stream() {
        return waiting.stream();
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    double startTag() {
        return startTag;
    }

    /** The queued work relative to the customer's share. */
    double load() {
        return cost / weight;
    }

    /** The start tag of a further request of a given priority. */
    double tagOf(int priority, double virtualTime) {
        double ahead = ahead(priority).mapToDouble(Waiting::cost).sum();
        return (waiting.isEmpty() ? Math.max(startTag, virtualTime) : startTag) + ahead / weight;
    }

    /** The time of this customer's own requests that are served before a further one, in nanoseconds. */
    double nanosAhead(int priority) {
        return ahead(priority).mapToDouble(Waiting::nanos).sum();
    }

    /** The time of this customer's requests that start before another customer's with a given tag, in nanoseconds. */
    double nanosBefore(double tag) {
        double served = Math.min(cost, (tag - startTag) * weight);
        return waiting.isEmpty() || served <= 0 || cost <= 0
                ? 0
                : served / cost * waiting.stream().mapToDouble(Waiting::nanos).sum();
    }

    private Stream<Waiting> ahead(int priority) {
        return waiting.stream().filter(next -> next.request().priority() <= priority);
    }

    /**
     * A request that waits.
     *
     * @param request the request
     * @param order the order of arrival
     * @param cost the work charged to the customer, in nanoseconds of the engine
     * @param nanos the time for which it delays the requests after it, in nanoseconds
     */
    record Waiting(AdmissionRequest request, long order, double cost, double nanos) {}
}
