package org.geraniumford.daemon.load;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The traffic of a load run, the fleet that serves it and the faults injected. Times are those of the modelled
 * deployment; the run is faster by the factor of the time scale.
 *
 * @param name the scenario's name
 * @param traffic the amount of traffic
 * @param prompts the structure of the prompts
 * @param hotDocuments the documents that are requested more often, if any
 * @param flood the customer whose request rate rises for a time, if any
 * @param fleet the fleet that serves the requests
 * @param faults the faults to inject, in the order of time
 */
public record Scenario(
        String name,
        Traffic traffic,
        Prompts prompts,
        HotDocuments hotDocuments,
        Flood flood,
        Fleet fleet,
        List<Fault> faults) {
    /** Checks the name and copies the list of faults. */
    public Scenario {
        requireNonNull(name, "name is null");
        faults = List.copyOf(faults);
    }

    // -- queries

    /**
     * Returns the customers' names.
     *
     * @return one name for each customer, the largest customer first
     */
    public List<String> customerNames() {
        return IntStream.rangeClosed(1, traffic.customers)
                .mapToObj(i -> "customer-" + i)
                .toList();
    }

    /**
     * Returns a customer's share of the requests without a flood.
     *
     * @param customer the customer's number, from 0
     * @return the share, from 0 to 1
     */
    public double share(int customer) {
        double sum =
                IntStream.range(0, traffic.customers).mapToDouble(this::weight).sum();
        return weight(customer) / sum;
    }

    private double weight(int customer) {
        return Math.pow(customer + 1, -traffic.customerSkew);
    }

    /**
     * The amount of traffic, and the requests' common properties.
     *
     * @param durationSeconds the length of the run in seconds
     * @param requestsPerSecond the average rate of all customers' requests together without a flood, per second
     * @param timeScale the factor by which the run is faster than the modelled deployment
     * @param customers the number of customers
     * @param customerSkew the exponent of the Zipf distribution of the customers' shares; 0 makes them equal
     * @param model the model's name in requests
     * @param maxTokens the length of a response in tokens
     * @param deadlineMillis the longest time to the first token that counts as good, in milliseconds
     */
    public record Traffic(
            int durationSeconds,
            double requestsPerSecond,
            double timeScale,
            int customers,
            double customerSkew,
            String model,
            int maxTokens,
            int deadlineMillis) {}

    /**
     * The structure of the prompts: a customer's preamble, a group's text, a document and a question.
     *
     * @param blockTokens the engines' block size in tokens
     * @param preambleBlocks the length of a customer's preamble in blocks
     * @param groupBlocks the length of a group's text in blocks
     * @param documentBlocks the length of a document in blocks
     * @param questionTokens the length of a question in tokens
     * @param groups the number of groups of each customer
     * @param documents the number of documents of each group
     * @param skew the exponent of the Zipf distribution of requests over groups and documents; 0 makes them equal
     */
    public record Prompts(
            int blockTokens,
            int preambleBlocks,
            int groupBlocks,
            int documentBlocks,
            int questionTokens,
            int groups,
            int documents,
            double skew) {}

    /**
     * The hot documents, to which a fixed share of the requests goes.
     *
     * @param share the fraction of each customer's requests that go to its hot documents; 0 means none is hot
     * @param documents the number of hot documents of each customer
     * @param shiftSeconds the interval in seconds at which other documents become hot; 0 means never
     */
    public record HotDocuments(double share, int documents, int shiftSeconds) {}

    /**
     * A flood: one customer's request rate rises for a time.
     *
     * @param customer the customer's number, from 0; -1 means that there is no flood
     * @param factor the factor by which the customer's rate is multiplied
     * @param fromSecond the start of the flood, in seconds from the start of the run
     * @param toSecond the end of the flood, exclusive, in seconds from the start of the run
     */
    public record Flood(int customer, double factor, int fromSecond, int toSecond) {
        /** Returns the factor of a customer's rate at a time; 1 without a flood. */
        double factorAt(int customerNumber, double second) {
            boolean floods = customerNumber == customer && second >= fromSecond && second < toSecond;
            return floods ? factor : 1;
        }
    }

    /**
     * The fleet that serves the requests.
     *
     * @param runners the number of model runners
     * @param entries the number of entries
     * @param failureDomains the number of failure domains
     * @param capacityBlocks the cache capacity of a runner in blocks
     * @param slots the number of requests that a runner runs at once
     * @param prefillMicrosPerToken the time of prefill for each token, in microseconds
     * @param decodeMicrosPerStep the time of a decode step in microseconds
     */
    public record Fleet(
            int runners,
            int entries,
            int failureDomains,
            int capacityBlocks,
            int slots,
            double prefillMicrosPerToken,
            double decodeMicrosPerStep) {
        /**
         * Returns the cache capacity of all runners together.
         *
         * @return the capacity in blocks
         */
        public int totalCapacityBlocks() {
            return runners * capacityBlocks;
        }
    }

    /**
     * A fault to inject.
     *
     * @param atSecond the time of the fault, in seconds from the start of the run
     * @param kind the kind of fault
     * @param target the number of the runner or failure domain, from 0; not used by faults of the whole fleet
     * @param value the size of the fault, in the unit of its kind
     */
    public record Fault(int atSecond, FaultKind kind, int target, double value) {}
}
