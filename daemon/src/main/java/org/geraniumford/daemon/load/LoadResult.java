package org.geraniumford.daemon.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * The figures of a run. Times are in milliseconds of the modelled deployment, from the scheduled time of sending.
 *
 * @param scenario the scenario's name
 * @param label the variant under comparison, such as a routing policy
 * @param seed the seed of the arrivals
 * @param requests the number of requests sent
 * @param completed the number of requests with a complete response
 * @param good the number of completed requests whose first token was received within the deadline; a response without a
 *     token counts too
 * @param retried the number of completed requests for which the router made more than one attempt
 * @param hitRate the fraction of the completed requests' blocks that were cached; 0 if there are no blocks
 * @param bound the blocks of the completed requests, and how many of them must be computed with one LRU cache as large
 *     as the caches of the fleet together
 * @param firstToken the time to the first token of completed requests; 0 for a response without a token
 * @param jainIndex Jain's fairness index of the fractions of completed requests, over all customers with a request; 1
 *     if all are equal, 0 if no request is complete
 * @param worstCustomer the name of the customer with the largest 99th percentile of the time to the first token; empty
 *     if there are no customers
 * @param refusals the number of requests without a complete response, by reason
 * @param customers the figures of each customer, in the order of the scenario's customer names
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
     * Computes the figures of a run.
     *
     * @param scenario the scenario that was run
     * @param label the variant under comparison
     * @param seed the seed of the arrivals
     * @param trace the arrivals
     * @param outcomes the outcome of each arrival, in the same order
     * @return the figures
     */
    public static LoadResult of(
            Scenario scenario, String label, long seed, List<Arrival> trace, List<Outcome> outcomes) {
        List<Outcome> completed = outcomes.stream().filter(Outcome::isComplete).toList();
        List<CustomerResult> customers = IntStream.range(0, scenario.traffic().customers())
                .mapToObj(customer -> customerResult(scenario, customer, outcomes))
                .toList();
        long deadlineMicros = Math.round(scenario.traffic().deadlineMillis() * MICROS_PER_MILLI);
        return new LoadResult(
                scenario.name(),
                label,
                seed,
                outcomes.size(),
                completed.size(),
                (int) completed.stream()
                        .filter(outcome -> outcome.firstTokenMicros() <= deadlineMicros)
                        .count(),
                (int) completed.stream()
                        .filter(outcome -> outcome.attempts() > 1)
                        .count(),
                hitRate(completed),
                bound(scenario, trace, outcomes),
                Latency.of(completed),
                jainIndex(customers),
                findWorstCustomer(customers),
                refusals(outcomes),
                customers);
    }

    private static CustomerResult customerResult(Scenario scenario, int customer, List<Outcome> outcomes) {
        List<Outcome> customerOutcomes = outcomes.stream()
                .filter(outcome -> outcome.customer() == customer)
                .toList();
        List<Outcome> completed =
                customerOutcomes.stream().filter(Outcome::isComplete).toList();
        return new CustomerResult(
                scenario.customerNames().get(customer),
                customerOutcomes.size(),
                completed.size(),
                Latency.of(completed));
    }

    private static double hitRate(List<Outcome> completed) {
        long blocks = completed.stream().mapToLong(Outcome::blocks).sum();
        long cachedBlocks = completed.stream().mapToLong(Outcome::cachedBlocks).sum();
        return blocks == 0 ? 0 : (double) cachedBlocks / blocks;
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
        List<Double> completedFractions = customers.stream()
                .filter(customer -> customer.requests > 0)
                .map(customer -> (double) customer.completed / customer.requests)
                .toList();
        double sum =
                completedFractions.stream().mapToDouble(Double::doubleValue).sum();
        double squareSum = completedFractions.stream()
                .mapToDouble(fraction -> fraction * fraction)
                .sum();
        return squareSum == 0 ? 0 : sum * sum / (completedFractions.size() * squareSum);
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
     * Returns the hit rate as a fraction of the bound's hit rate.
     *
     * @return the fraction; 1 if the bound's hit rate is 0
     */
    public double relativeHitRate() {
        return bound.hitRate() == 0 ? 1 : hitRate / bound.hitRate();
    }

    /**
     * Returns the largest of the customers' 99th percentiles of the time to the first token.
     *
     * @return the time in milliseconds; 0 if there are no customers
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
     * @param name the customer's name
     * @param requests the number of requests sent
     * @param completed the number of requests with a complete response
     * @param firstToken the time to the first token of completed requests
     */
    public record CustomerResult(String name, int requests, int completed, Latency firstToken) {}

    /**
     * Percentiles of the time to the first token, in milliseconds: 0 if there are no values. Times above one hour count
     * as one hour.
     *
     * @param p50Millis the median
     * @param p95Millis the 95th percentile
     * @param p99Millis the 99th percentile
     * @param maxMillis the largest value
     */
    public record Latency(double p50Millis, double p95Millis, double p99Millis, double maxMillis) {
        static Latency of(List<Outcome> completed) {
            Histogram histogram = new Histogram(MAX_LATENCY_MICROS, HISTOGRAM_SIGNIFICANT_DIGITS);
            completed.forEach(outcome ->
                    histogram.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(0, outcome.firstTokenMicros()))));
            return new Latency(
                    millis(histogram, 50), millis(histogram, 95), millis(histogram, 99), millis(histogram, 100));
        }

        private static double millis(Histogram histogram, double percentile) {
            return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
        }
    }
}
