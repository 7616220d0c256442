package org.geraniumford.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class CustomerLimiterTest {
    private static final long MICROS_PER_SECOND = 1_000_000;

    // -- one entry

    @Test
    void shouldAdmitEverythingWhenACustomerHasNoLimits() {
        CustomerLimiter limiter = CustomerLimiter.of("entry-1", () -> 410);
        Customer customer = customer(0, 0, 0);
        assertThat(IntStream.range(0, 1000))
                .allMatch(i -> limiter.admit(customer, 1000, 0).isEmpty());
        assertThat(limiter.takeDueReports(MICROS_PER_SECOND)).isEmpty();
    }

    @Test
    void shouldRefuseAsNotRunWithARetryAfterDelayWhenALimitIsReached() {
        CustomerLimiter limiter = CustomerLimiter.of("entry-1", () -> 1);
        assertThat(limiter.admit(customer(1, 0, 0), 10, 0)).isEmpty();
        Refusal refusal = limiter.admit(customer(1, 0, 0), 10, 0).orElseThrow();
        assertThat(refusal.reason()).isEqualTo(Reason.REQUEST_RATE_LIMITED);
        assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        long retryMicros = refusal.retryAfter().toNanos() / 1000;
        assertThat(limiter.admit(customer(1, 0, 0), 10, retryMicros)).isEmpty();
    }

    @Test
    void shouldRefuseAnotherStreamUntilOneEndsWhenTheStreamLimitIsReached() {
        CustomerLimiter limiter = CustomerLimiter.of("entry-1", () -> 1);
        Customer customer = customer(0, 0, 2);
        assertThat(limiter.admit(customer, 1, 0)).isEmpty();
        assertThat(limiter.admit(customer, 1, 0)).isEmpty();
        assertThat(limiter.admit(customer, 1, 0).map(Refusal::reason)).contains(Reason.STREAMS_LIMITED);
        limiter.release(customer, 0);
        assertThat(limiter.admit(customer, 1, 0)).isEmpty();
    }

    @Test
    void shouldLimitTokensWhenResponsesAreLongerThanEstimated() {
        CustomerLimiter limiter = CustomerLimiter.of("entry-1", () -> 1);
        Customer customer = customer(0, 1000, 0);
        assertThat(limiter.admit(customer, 100, 0)).isEmpty();
        limiter.release(customer, 500);
        assertThat(limiter.admit(customer, 1, 0).map(Refusal::reason)).contains(Reason.TOKEN_RATE_LIMITED);
    }

    @Test
    void shouldChooseTheSameOwnerWhenOtherEntriesLeave() {
        List<String> entries =
                IntStream.range(0, 20).mapToObj(i -> "entry-" + i).toList();
        String owner = LimitOwner.ownerOf("amahoro", entries).orElseThrow();
        List<String> remaining = entries.stream()
                .filter(name -> name.equals(owner) || name.endsWith("1"))
                .toList();
        assertThat(LimitOwner.ownerOf("amahoro", remaining)).contains(owner);
        assertThat(LimitOwner.ownerOf("amahoro", List.of())).isEmpty();
    }

    // -- all entries, on a virtual clock

    @ParameterizedTest
    @CsvSource({
        // entries, requests per second of the limit, demand as a multiple of the limit, seed
        "1,   100, 5, 1",
        "4,   100, 5, 2",
        "20,  100, 5, 3",
        "20,  100, 1, 4",
        "410, 500, 5, 5",
    })
    void shouldHoldTheLimitOverAllEntriesWithinATenthWhenDemandExceedsIt(
            int entries, int limit, double demand, long seed) {
        LimitSimulation simulation = new LimitSimulation(entries, customer(limit, 0, 0), seed);
        simulation.run(20 * MICROS_PER_SECOND, limit * demand, entries, true);
        long before = simulation.admitted;
        simulation.run(60 * MICROS_PER_SECOND, limit * demand, entries, true);
        assertThat(simulation.admitted - before).isLessThanOrEqualTo((long) (limit * 60 * 1.1));
    }

    @ParameterizedTest
    @CsvSource({"4, 100, 6", "20, 100, 7", "410, 500, 8"})
    void shouldAdmitUpToTheFullLimitWhenAllTrafficIsOnOneEntry(int entries, int limit, long seed) {
        LimitSimulation simulation = new LimitSimulation(entries, customer(limit, 0, 0), seed);
        simulation.run(10 * MICROS_PER_SECOND, limit * 2, 1, true);
        long before = simulation.admitted;
        simulation.run(30 * MICROS_PER_SECOND, limit * 2, 1, true);
        assertThat(simulation.admitted - before).isBetween((long) (limit * 30 * 0.9), (long) (limit * 30 * 1.1));
    }

    @ParameterizedTest
    @CsvSource({"4, 100, 9", "20, 100, 10", "410, 500, 11"})
    void shouldRefuseAtMostATwentiethWhenDemandIsHalfTheLimitOverAllEntries(int entries, int limit, long seed) {
        LimitSimulation simulation = new LimitSimulation(entries, customer(limit, 0, 0), seed);
        simulation.run(60 * MICROS_PER_SECOND, limit * 0.5, entries, true);
        assertThat(simulation.refused).isLessThanOrEqualTo(simulation.admitted / 20);
    }

    @Test
    void shouldFallBackToEqualSharesWhenTheOwnerIsLost() {
        LimitSimulation simulation = new LimitSimulation(10, customer(100, 0, 0), 12);
        simulation.run(10 * MICROS_PER_SECOND, 300, 10, true);
        simulation.run(10 * MICROS_PER_SECOND, 300, 10, false);
        long before = simulation.admitted;
        simulation.run(30 * MICROS_PER_SECOND, 300, 10, false);
        assertThat(simulation.admitted - before).isBetween((long) (100 * 30 * 0.9), (long) (100 * 30 * 1.1));
    }

    @ParameterizedTest
    @CsvSource({"1, 100, 14", "4, 100, 15", "20, 100, 16", "410, 500, 17"})
    void shouldAdmitInAnySecondAtMostTwiceTheLimitAndOneRequestPerEntryWhenDemandExceedsIt(
            int entries, int limit, long seed) {
        LimitSimulation simulation = new LimitSimulation(entries, customer(limit, 0, 0), seed);
        simulation.run(60 * MICROS_PER_SECOND, limit * 5, entries, true);
        IntStream.range(0, 60).forEach(second -> {
            long before = simulation.admitted;
            simulation.run(MICROS_PER_SECOND, limit * 5, entries, true);
            assertThat(simulation.admitted - before).isLessThanOrEqualTo(2L * limit + entries);
        });
    }

    @Test
    void shouldHoldTheLimitWhenTheOwnerIsLostAndTheTrafficMoves() {
        LimitSimulation simulation = new LimitSimulation(10, customer(100, 0, 0), 18);
        simulation.run(10 * MICROS_PER_SECOND, 300, 1, true);
        simulation.run(10 * MICROS_PER_SECOND, 300, 10, false);
        long before = simulation.admitted;
        simulation.run(30 * MICROS_PER_SECOND, 1000, 10, false);
        assertThat(simulation.admitted - before).isLessThanOrEqualTo((long) (100 * 30 * 1.1));
    }

    @Test
    void shouldStayWithinTheControlTrafficBudgetWhenOneCustomerSendsToEveryEntry() {
        LimitSimulation simulation = new LimitSimulation(410, customer(5000, 0, 0), 19);
        simulation.run(60 * MICROS_PER_SECOND, 2900, 410, true);
        assertThat(simulation.measureMaxBytesPerSecond(30)).isLessThan(15_000);
    }

    @Test
    void shouldStayWithinTheControlTrafficBudgetWhenThousandsOfCustomersSend() {
        int entries = 410;
        Map<String, Customer> customers = new HashMap<>();
        IntStream.range(0, 7500)
                .mapToObj(i -> "customer-" + i)
                .forEach(name -> customers.put(name, customerNamed(name, 10)));
        LimitSimulation simulation = new LimitSimulation(entries, customers, 13);
        simulation.run(20 * MICROS_PER_SECOND, 2900, entries, true);
        assertThat(simulation.measureMaxBytesPerSecond(30)).isLessThan(15_000);
    }

    // -- data

    private static Customer customer(int requests, int tokens, int streams) {
        return new Customer("amahoro", "Amahoro", Set.of(), 1, Set.of(), Set.of(), requests, tokens, streams);
    }

    private static Customer customerNamed(String name, int requests) {
        return new Customer(name, name, Set.of(), 1, Set.of(), Set.of(), requests, 0, 0);
    }

    /** Simulates entries that exchange reports and shares with a delay, and callers that send at random times. */
    private static final class LimitSimulation {
        private static final long TICK_MICROS = 50_000;
        private static final long LATENCY_MICROS = 2_000;

        private final List<String> names;
        private final List<CustomerLimiter> limiters = new ArrayList<>();
        private final List<LimitOwner> owners = new ArrayList<>();
        private final Map<String, Customer> customers;
        private final List<Customer> customerList;
        private final Map<String, Integer> ownerIndexes = new HashMap<>();
        private final long[] bytesByEntry;
        private final Random random;
        private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
        private long admitted;
        private long refused;
        private long nowMicros;
        private long sequence;

        private record ScheduledTask(long timeMicros, long sequence, Runnable task)
                implements Comparable<ScheduledTask> {
            @Override
            public int compareTo(ScheduledTask other) {
                return timeMicros == other.timeMicros
                        ? Long.compare(sequence, other.sequence)
                        : Long.compare(timeMicros, other.timeMicros);
            }
        }

        LimitSimulation(int entries, Customer customer, long seed) {
            this(entries, Map.of(customer.name(), customer), seed);
        }

        LimitSimulation(int entries, Map<String, Customer> customers, long seed) {
            this.names = IntStream.range(0, entries).mapToObj(i -> "entry-" + i).toList();
            this.customers = customers;
            this.customerList = List.copyOf(customers.values());
            this.bytesByEntry = new long[entries];
            this.random = new Random(seed);
            names.forEach(name -> limiters.add(CustomerLimiter.of(name, () -> entries)));
            names.forEach(name -> owners.add(LimitOwner.empty()));
        }

        /**
         * Runs the simulation. Requests arrive at random at the first {@code usedEntries} entries. Reports are lost
         * unless the owners are up.
         */
        void run(long durationMicros, double requestsPerSecond, int usedEntries, boolean ownersUp) {
            long endMicros = nowMicros + durationMicros;
            queue.clear();
            IntStream.range(0, limiters.size())
                    .forEach(i -> schedule(random.nextLong(TICK_MICROS), () -> tick(i, ownersUp)));
            schedule(0, () -> arrive(requestsPerSecond, usedEntries));
            while (queue.peek().timeMicros() <= endMicros) {
                ScheduledTask due = queue.poll();
                nowMicros = due.timeMicros();
                due.task().run();
            }
            nowMicros = endMicros;
        }

        /** Returns the largest average byte rate of reports and shares at one entry, over a number of seconds. */
        long measureMaxBytesPerSecond(int seconds) {
            long[] before = bytesByEntry.clone();
            run(seconds * MICROS_PER_SECOND, 2900, bytesByEntry.length, true);
            return IntStream.range(0, bytesByEntry.length)
                    .mapToLong(i -> (bytesByEntry[i] - before[i]) / seconds)
                    .max()
                    .orElseThrow();
        }

        private void arrive(double requestsPerSecond, int usedEntries) {
            Customer customer = customerList.get(random.nextInt(customerList.size()));
            CustomerLimiter limiter = limiters.get(random.nextInt(usedEntries));
            Optional<Refusal> refusal = limiter.admit(customer, 100, nowMicros);
            if (refusal.isEmpty()) {
                admitted++;
                limiter.release(customer, 0);
            } else {
                refused++;
            }
            schedule(
                    (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * MICROS_PER_SECOND),
                    () -> arrive(requestsPerSecond, usedEntries));
        }

        private void tick(int entryIndex, boolean ownersUp) {
            List<LimitUsage> reports = limiters.get(entryIndex).takeDueReports(nowMicros);
            if (ownersUp) {
                reports.forEach(usage -> report(entryIndex, usage));
            }
            schedule(TICK_MICROS, () -> tick(entryIndex, ownersUp));
        }

        private void report(int entryIndex, LimitUsage usage) {
            int ownerIndex = ownerIndexes.computeIfAbsent(
                    usage.customer(),
                    name -> names.indexOf(LimitOwner.ownerOf(name, names).orElseThrow()));
            bytesByEntry[entryIndex] += LimitOwner.EXCHANGE_BYTES;
            bytesByEntry[ownerIndex] += LimitOwner.EXCHANGE_BYTES;
            schedule(LATENCY_MICROS, () -> {
                LimitShare share =
                        owners.get(ownerIndex).recordUsage(customers.get(usage.customer()), usage, nowMicros);
                schedule(LATENCY_MICROS, () -> limiters.get(entryIndex).applyShare(share, nowMicros));
            });
        }

        private void schedule(long delayMicros, Runnable task) {
            queue.add(new ScheduledTask(nowMicros + delayMicros, sequence++, task));
        }
    }
}
