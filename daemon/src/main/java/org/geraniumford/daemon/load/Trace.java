package org.geraniumford.daemon.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Generates the arrivals of a scenario from a seed. Each customer has its own Poisson process and its own seed, so that
 * a flood of one customer changes no arrival of the others.
 */
public final class Trace {
    private static final double MICROS_PER_SECOND = TimeUnit.SECONDS.toMicros(1);
    /** The difference between the seeds of consecutive customers: 2^64 divided by the golden ratio. */
    private static final long CUSTOMER_SEED_STEP = 0x9e3779b97f4a7c15L;

    private final Scenario scenario;
    private final Zipf groups;
    private final Zipf documents;

    private Trace(Scenario scenario) {
        this.scenario = scenario;
        this.groups = Zipf.of(scenario.prompts().groups(), scenario.prompts().skew());
        this.documents =
                Zipf.of(scenario.prompts().documents(), scenario.prompts().skew());
    }

    /**
     * Generates the arrivals of a scenario.
     *
     * @param scenario the scenario
     * @param seed the seed; equal seeds give equal arrivals
     * @return the arrivals in the order of time
     */
    public static List<Arrival> generate(Scenario scenario, long seed) {
        Trace trace = new Trace(scenario);
        return IntStream.range(0, scenario.traffic().customers())
                .boxed()
                .flatMap(customer -> trace.arrivals(customer, seed).stream())
                .sorted(Comparator.comparingLong(Arrival::atMicros).thenComparingInt(Arrival::customer))
                .toList();
    }

    private List<Arrival> arrivals(int customer, long seed) {
        SplittableRandom random = new SplittableRandom(seed + (customer + 1) * CUSTOMER_SEED_STEP);
        double rate = scenario.traffic().requestsPerSecond() * scenario.share(customer);
        List<Arrival> arrivals = new ArrayList<>();
        double second = sampleInterval(random, rate, customer, 0);
        while (second < scenario.traffic().durationSeconds()) {
            arrivals.add(arrival(random, customer, second, arrivals.size()));
            second += sampleInterval(random, rate, customer, second);
        }
        return arrivals;
    }

    /**
     * Samples the time in seconds from {@code second} to the customer's next arrival. {@code rate} is the customer's
     * rate without a flood, in requests per second.
     */
    private double sampleInterval(SplittableRandom random, double rate, int customer, double second) {
        double currentRate = rate * scenario.flood().factorAt(customer, second);
        return -Math.log(1 - random.nextDouble()) / currentRate;
    }

    private Arrival arrival(SplittableRandom random, int customer, double second, int number) {
        int group = groups.sample(random);
        int document = documents.sample(random);
        double hotDraw = random.nextDouble();
        int hotDocument = random.nextInt(scenario.hotDocuments().documents());
        if (hotDraw < scenario.hotDocuments().share()) {
            int documentIndex = hotDocument + hotDocumentOffset(second);
            group = documentIndex % scenario.prompts().groups();
            document = documentIndex
                    / scenario.prompts().groups()
                    % scenario.prompts().documents();
        }
        return new Arrival(Math.round(second * MICROS_PER_SECOND), customer, levels(customer, group, document, number));
    }

    /** Returns the number of documents by which the hot ones have shifted, in total, at a time in seconds. */
    private int hotDocumentOffset(double second) {
        Scenario.HotDocuments hotDocuments = scenario.hotDocuments();
        if (hotDocuments.shiftSeconds() == 0) {
            return 0;
        }
        int shifts = (int) (second / hotDocuments.shiftSeconds());
        return shifts * hotDocuments.documents();
    }

    private List<Arrival.Level> levels(int customer, int group, int document, int question) {
        Scenario.Prompts prompts = scenario.prompts();
        String preambleName = "c" + customer;
        String groupName = preambleName + "/g" + group;
        String documentName = groupName + "/d" + document;
        return List.of(
                new Arrival.Level(preambleName, prompts.preambleBlocks() * prompts.blockTokens()),
                new Arrival.Level(groupName, prompts.groupBlocks() * prompts.blockTokens()),
                new Arrival.Level(documentName, prompts.documentBlocks() * prompts.blockTokens()),
                new Arrival.Level(preambleName + "/q" + question, prompts.questionTokens()));
    }
}
