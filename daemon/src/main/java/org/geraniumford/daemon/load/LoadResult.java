package org.geraniumford.daemon.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * What a run measured. Times are those of the modelled deployment, in milliseconds from the intended sending.
 *
 * @param scenario the scenario's name
 * @param label what was compared, such as a routing policy
 * @param seed the seed of the arrivals
 * @param requests the requests sent
 * @param completed those with a whole answer
 * @param good those whose first token came within the deadline and whose answer is whole
 * @param retried complete ones for which the router needed more than one attempt
 * @param hitRate pieces taken from a cache over all pieces, of complete answers
 * @param bound the least that any routing has to compute for the complete answers
 * @param firstToken the time to the first token of complete answers
 * @param jainIndex how equal the customers' fractions of complete answers are; 1 if all are equal
 * @param worstCustomer the customer with the largest 99th percentile of the time to the first token
 * @param refusals the number of refused or broken requests by reason
 * @param customers each customer's figures
 */
public record LoadResult(
        String scenario,
        String label,
        long seed,
        int requests,
        int completed,
        int good,
        int retried,
        double hitRate,
        OfflineBound bound,
        Latency firstToken,
        double jainIndex,
        String worstCustomer,
        Map<String, Long> refusals,
        List<CustomerResult> customers) {
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
    private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1000;

    // -- construction

    /**
     * Evaluates a run.
     *
     * @param scenario what was sent
     * @param label what was compared
     * @param seed the seed of the arrivals
     * @param trace the arrivals
     * @param outcomes the outcome of each, in the same order
     * @return the figures
     */
    public static LoadResult of(
            Scenario scenario, String label, long seed, List<Arrival> trace, List<Outcome> outcomes) {
        List<Outcome> complete = outcomes.stream().filter(Outcome::isComplete).toList();
        List<CustomerResult> customers = IntStream.range(0, scenario.traffic().customers())
                .mapToObj(customer -> customerResult(scenario, customer, outcomes))
                .toList();
        long deadlineMicros = Math.round(scenario.traffic().deadlineMillis() * MICROS_PER_MILLI);
        return new LoadResult(
                scenario.name(),
                label,
                seed,
                outcomes.size(),
                complete.size(),
                (int) complete.stream()
                        .filter(outcome -> outcome.firstTokenMicros() <= deadlineMicros)
                        .count(),
                (int) complete.stream()
                        .filter(outcome -> outcome.attempts() > 1)
                        .count(),
                hitRate(complete),
                bound(scenario, trace, outcomes),
                Latency.of(complete),
                jainIndex(customers),
                findWorstCustomer(customers),
                refusals(outcomes),
                customers);
    }

    private static CustomerResult customerResult(Scenario scenario, int customer, List<Outcome> outcomes) {
        List<Outcome> own = outcomes.stream()
                .filter(outcome -> outcome.customer() == customer)
                .toList();
        List<Outcome> complete = own.stream().filter(Outcome::isComplete).toList();
        return new CustomerResult(
                scenario.customerNames().get(customer), own.size(), complete.size(), Latency.of(complete));
    }

    private static double hitRate(List<Outcome> complete) {
        long pieces = complete.stream().mapToLong(Outcome::blocks).sum();
        long cached = complete.stream().mapToLong(Outcome::cachedBlocks).sum();
        return pieces == 0 ? 0 : (double) cached / pieces;
    }

    private static OfflineBound bound(Scenario scenario, List<Arrival> trace, List<Outcome> outcomes) {
        PromptTexts texts = new PromptTexts();
        return OfflineBound.of(
                IntStream.range(0, trace.size())
                        .filter(i -> outcomes.get(i).isComplete())
                        .mapToObj(i ->
                                texts.blockKeys(trace.get(i), scenario.prompts().blockTokens()))
                        .toList(),
                scenario.fleet().totalCapacityBlocks());
    }

    private static double jainIndex(List<CustomerResult> customers) {
        List<Double> served = customers.stream()
                .filter(customer -> customer.requests > 0)
                .map(customer -> (double) customer.completed / customer.requests)
                .toList();
        double sum = served.stream().mapToDouble(Double::doubleValue).sum();
        double squares = served.stream().mapToDouble(share -> share * share).sum();
        return squares == 0 ? 0 : sum * sum / (served.size() * squares);
    }

    private static String findWorstCustomer(List<CustomerResult> customers) {
        return customers.stream()
                .max(java.util.Comparator.comparingDouble(customer -> customer.firstToken.p99Millis))
                .map(CustomerResult::name)
                .orElse("");
    }

    private static Map<String, Long> refusals(List<Outcome> outcomes) {
        return outcomes.stream()
                .filter(outcome -> !outcome.isComplete())
                .collect(Collectors.groupingBy(Outcome::reason, TreeMap::new, Collectors.counting()));
    }

    // -- queries

    /**
     * Returns the hit rate as a fraction of the best one.
     *
     * @return 1 if no routing could do better
     */
    public double relativeHitRate() {
        return bound.hitRate() == 0 ? 1 : hitRate / bound.hitRate();
    }

    /**
     * Returns the largest 99th percentile of a customer.
     *
     * @return milliseconds
     */
    public double worstP99Millis() {
        return customers.stream()
                .mapToDouble(customer -> customer.firstToken.p99Millis)
                .max()
                .orElse(0);
    }

    /**
     * One customer's figures.
     *
     * @param name the customer
     * @param requests the requests sent
     * @param completed those with a whole answer
     * @param firstToken the time to the first token of complete answers
     */
    public record CustomerResult(String name, int requests, int completed, Latency firstToken) {}

    /**
     * Percentiles of a time, in milliseconds.
     *
     * @param p50Millis the median
     * @param p95Millis the 95th percentile
     * @param p99Millis the 99th percentile
     * @param maxMillis the largest
     */
    public record Latency(double p50Millis, double p95Millis, double p99Millis, double maxMillis) {
        static Latency of(List<Outcome> complete) {
            Histogram histogram = new Histogram(MAX_LATENCY_MICROS, HISTOGRAM_SIGNIFICANT_DIGITS);
            complete.forEach(outcome ->
                    histogram.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(0, outcome.firstTokenMicros()))));
            return new Latency(
                    millis(histogram, 50), millis(histogram, 95), millis(histogram, 99), millis(histogram, 100));
        }

        private static double millis(Histogram histogram, double percentile) {
            return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
        }
    }
}
