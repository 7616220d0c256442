package org.geraniumford.daemon.load;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.stream.IntStream;

/**
 * What traffic is sent, and to what fleet. Times are those of the modelled deployment; the run is faster by the time
 * scale.
 *
 * @param name the scenario's name
 * @param traffic how much is sent
 * @param prompts what the prompts look like
 * @param hotDocuments which documents are hot, if any
 * @param flood which customer floods, if any
 * @param fleet what serves
 * @param faults what goes wrong, in the order of time
 */
public record Scenario(
        String name,
        Traffic traffic,
        Prompts prompts,
        HotDocuments hotDocuments,
        Flood flood,
        Fleet fleet,
        List<Fault> faults) {
    /** Checks the components and copies the list. */
    public Scenario {
        requireNonNull(name, "name is null");
        faults = List.copyOf(faults);
    }

    // -- queries

    /**
     * Returns the customers' names.
     *
     * @return one name each, the largest customer first
     */
    public List<String> customerNames() {
        return IntStream.rangeClosed(1, traffic.customers)
                .mapToObj(i -> "customer-" + i)
                .toList();
    }

    /**
     * Returns a customer's share of the requests.
     *
     * @param customer its number, from 0
     * @return a fraction of 1
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
     * How much is sent.
     *
     * @param durationSeconds the length of the run in seconds
     * @param requestsPerSecond requests a second of all customers together
     * @param timeScale how many times faster than the modelled deployment the run is
     * @param customers the number of customers
     * @param customerSkew the exponent of the customers' sizes; 0 makes them equal
     * @param model the model's name in requests
     * @param maxTokens the length of an answer in tokens
     * @param deadlineMillis the time to the first token that counts as good, in milliseconds
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
     * What the prompts look like: a house preamble, a group, a document and a question.
     *
     * @param blockTokens the engines' piece size in tokens
     * @param preambleBlocks the pieces of a customer's preamble
     * @param groupBlocks the pieces of a group's text
     * @param documentBlocks the pieces of a document
     * @param questionTokens the tokens of a question
     * @param groups the groups of each customer
     * @param documents the documents of each group
     * @param skew the exponent by which groups and documents are chosen; 0 makes them equal
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
     * Which documents are hot.
     *
     * @param share the fraction of each customer's requests that go to its hot documents; 0 means none is hot
     * @param documents how many documents of the first customer are hot
     * @param shiftSeconds after how many seconds others become hot; 0 means never
     */
    public record HotDocuments(double share, int documents, int shiftSeconds) {}

    /**
     * Which customer floods.
     *
     * @param customer its number, from 0; -1 means none
     * @param factor by how much its rate grows
     * @param fromSecond when the flood begins
     * @param toSecond when it ends
     */
    public record Flood(int customer, double factor, int fromSecond, int toSecond) {
        double factorAt(int number, double second) {
            boolean floods = number == customer && second >= fromSecond && second < toSecond;
            return floods ? factor : 1;
        }
    }

    /**
     * What serves.
     *
     * @param runners the number of model runners
     * @param entries the number of entries
     * @param failureDomains the number of failure domains
     * @param capacityBlocks the cache of a runner in pieces
     * @param slots the requests that a runner runs at once
     * @param prefillMicrosPerToken the time of a prompt token in microseconds
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
         * Returns the cache of all runners.
         *
         * @return pieces
         */
        public int totalCapacityBlocks() {
            return runners * capacityBlocks;
        }
    }

    /**
     * Something that goes wrong.
     *
     * @param atSecond when
     * @param kind what
     * @param target the number of the host or failure domain, from 0
     * @param value the size of the fault, in the unit of its kind
     */
    public record Fault(int atSecond, FaultKind kind, int target, double value) {}
}
