package org.geraniumford.daemon.load;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.geraniumford.core.configuration.Sha256;

/** Generates the operators' configuration that a scenario needs. */
public final class LoadConfiguration {
    /** The model version whose weights the runners have loaded. */
    public static final String MODEL_VERSION = "load-1";

    /** The weight of a customer that sends all requests; other weights are in proportion, and at least 1. */
    private static final int FULL_SHARE_WEIGHT = 20;

    private LoadConfiguration() {}

    /**
     * Returns the digest of the weights that the runners have loaded.
     *
     * @return a hexadecimal SHA-256 digest
     */
    public static String weightsDigest() {
        return Sha256.hex(MODEL_VERSION);
    }

    /**
     * Returns the text of the configuration's only file. The deadline is divided by the scenario's time scale, because
     * the router runs in real time.
     *
     * @param scenario the scenario
     * @return the text, in INI format
     */
    public static String text(Scenario scenario) {
        Scenario.Traffic traffic = scenario.traffic();
        String customers = customerSections(scenario);
        String model = traffic.model();
        String digest = weightsDigest();
        long deadlineMillis = Math.max(1, Math.round(traffic.deadlineMillis() / traffic.timeScale()));
        return """
                [model %s]
                version = %s
                weights_digest = %s
                max_tokens = %d

                [class check]
                rank = 0
                first_token_deadline_ms = %d

                %s""".formatted(model, MODEL_VERSION, digest, traffic.maxTokens(), deadlineMillis, customers);
    }

    private static String customerSections(Scenario scenario) {
        List<String> names = scenario.customerNames();
        return IntStream.range(0, names.size())
                .mapToObj(number -> customerSection(names.get(number), scenario.share(number)))
                .collect(Collectors.joining("\n"));
    }

    private static String customerSection(String name, double share) {
        return """
                [customer %s]
                key_digests = %s
                weight = %d
                """.formatted(name, Sha256.hex(LoadTarget.apiKey(name)), weight(share));
    }

    private static long weight(double share) {
        return Math.max(1, Math.round(share * FULL_SHARE_WEIGHT));
    }
}
