package org.geraniumford.daemon.load;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.geraniumford.core.configuration.Sha256;

/** The operators' configuration under which a scenario runs. */
public final class LoadConfiguration {
    /** The model version that the runners hold. */
    public static final String MODEL_VERSION = "load-1";

    private static final int WEIGHT_SCALE = 20;

    private LoadConfiguration() {}

    /**
     * Returns the digest of the weights that the runners hold.
     *
     * @return a hexadecimal SHA-256 digest
     */
    public static String weightsDigest() {
        return Sha256.hex(MODEL_VERSION);
    }

    /**
     * Returns the configuration's only file. Deadlines are shortened by the time scale.
     *
     * @param scenario the scenario
     * @return the text in INI
     */
    public static String text(Scenario scenario) {
        Scenario.Traffic traffic = scenario.traffic();
        String sections = customerSections(scenario);
        String model = traffic.model();
        String digest = weightsDigest();
        long deadline = Math.max(1, Math.round(traffic.deadlineMillis() / traffic.timeScale()));
        return """
                [model %s]
                version = %s
                weights_digest = %s
                max_tokens = %d

                [class check]
                rank = 0
                first_token_deadline_ms = %d

                %s""".formatted(model, MODEL_VERSION, digest, traffic.maxTokens(), deadline, sections);
    }

    private static String customerSections(Scenario scenario) {
        List<String> names = scenario.customerNames();
        return IntStream.range(0, names.size())
                .mapToObj(i -> customerSection(names.get(i), scenario.share(i)))
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
        return Math.max(1, Math.round(share * WEIGHT_SCALE));
    }
}
