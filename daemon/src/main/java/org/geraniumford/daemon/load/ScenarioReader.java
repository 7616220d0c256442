package org.geraniumford.daemon.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumford.core.ini.IniDocument;
import org.geraniumford.core.ini.IniEntry;
import org.geraniumford.core.ini.IniProblem;

/**
 * Reads a scenario from an INI file. Each key has a default; unknown keys and invalid values are errors. The section
 * {@code faults} is an exception: its keys are arbitrary names, one for each fault, with values of the form
 * {@code SECOND KIND TARGET VALUE}.
 */
public final class ScenarioReader {
    private static final String FAULTS = "faults";
    private static final int FAULT_FIELDS = 4;

    private final IniDocument document;
    private final Set<String> knownKeys = new HashSet<>();
    private final List<String> problems = new ArrayList<>();

    private ScenarioReader(IniDocument document) {
        this.document = document;
        document.problems().stream().map(IniProblem::toString).forEach(problems::add);
    }

    /**
     * Reads a scenario.
     *
     * @param file the file's name, for error messages; the scenario is named after it
     * @param bytes the file's contents
     * @return the scenario
     * @throws IllegalArgumentException if the file is not valid; the message names file, line and key of each problem
     */
    public static Scenario read(String file, byte[] bytes) {
        ScenarioReader reader = new ScenarioReader(IniDocument.of(file, bytes));
        Scenario scenario = reader.scenario(nameOf(file));
        reader.reportUnknownKeys();
        if (!reader.problems.isEmpty()) {
            throw new IllegalArgumentException(String.join("\n", reader.problems));
        }
        return scenario;
    }

    private static String nameOf(String file) {
        String last = file.substring(file.lastIndexOf('/') + 1);
        return last.endsWith(".ini") ? last.substring(0, last.length() - ".ini".length()) : last;
    }

    // -- sections

    private Scenario scenario(String name) {
        return new Scenario(name, traffic(), prompts(), hotDocuments(), flood(), fleet(), faults());
    }

    private Scenario.Traffic traffic() {
        return new Scenario.Traffic(
                integer("traffic", "seconds", 60, 1, 3600),
                decimal("traffic", "rate", 10, 0.01, 100_000),
                decimal("traffic", "time_scale", 4, 0.1, 100),
                integer("traffic", "customers", 8, 1, 1000),
                decimal("traffic", "customer_skew", 0.7, 0, 5),
                text("traffic", "model", "draft"),
                integer("traffic", "max_tokens", 16, 1, 10_000),
                integer("traffic", "deadline_ms", 2000, 1, 3_600_000));
    }

    private Scenario.Prompts prompts() {
        return new Scenario.Prompts(
                integer("prompts", "piece_tokens", 800, 1, 1_000_000),
                integer("prompts", "house_pieces", 2, 0, 1000),
                integer("prompts", "group_pieces", 2, 0, 1000),
                integer("prompts", "document_pieces", 4, 0, 1000),
                integer("prompts", "question_tokens", 200, 1, 1_000_000),
                integer("prompts", "groups", 12, 1, 100_000),
                integer("prompts", "documents", 2, 1, 100_000),
                decimal("prompts", "skew", 1, 0, 5));
    }

    private Scenario.HotDocuments hotDocuments() {
        return new Scenario.HotDocuments(
                decimal("hot", "share", 0, 0, 1),
                integer("hot", "documents", 1, 1, 1000),
                integer("hot", "shift_seconds", 0, 0, 3600));
    }

    private Scenario.Flood flood() {
        return new Scenario.Flood(
                integer("flood", "customer", -1, -1, 999),
                decimal("flood", "factor", 10, 1, 1000),
                integer("flood", "from_second", 0, 0, 3600),
                integer("flood", "to_second", 3600, 0, 3600));
    }

    private Scenario.Fleet fleet() {
        return new Scenario.Fleet(
                integer("fleet", "runners", 12, 1, 100),
                integer("fleet", "entries", 2, 1, 20),
                integer("fleet", "failure_domains", 3, 1, 20),
                integer("fleet", "capacity_pieces", 128, 1, 1_000_000),
                integer("fleet", "slots", 16, 1, 1000),
                decimal("fleet", "prefill_micros", 200, 0, 1_000_000),
                decimal("fleet", "decode_micros", 15_000, 1, 10_000_000));
    }

    private List<Scenario.Fault> faults() {
        return document.entries().stream()
                .filter(entry -> entry.section().equals(FAULTS))
                .flatMap(entry -> fault(entry).stream())
                .sorted(Comparator.comparingInt(Scenario.Fault::atSecond))
                .toList();
    }

    /** Returns the fault of an entry. If the entry is not valid, adds a problem and returns an empty list. */
    private List<Scenario.Fault> fault(IniEntry entry) {
        String[] fields = entry.value().trim().split("\\s+", -1);
        try {
            if (fields.length == FAULT_FIELDS && FaultKind.ofLabel(fields[1]).isPresent()) {
                return List.of(new Scenario.Fault(
                        Integer.parseInt(fields[0]),
                        FaultKind.ofLabel(fields[1]).get(),
                        Integer.parseInt(fields[2]),
                        Double.parseDouble(fields[3])));
            }
        } catch (NumberFormatException e) {
            addProblem(entry, "SECOND and TARGET must be integers, VALUE a number");
            return List.of();
        }
        addProblem(entry, "expected SECOND KIND TARGET VALUE");
        return List.of();
    }

    // -- values

    /** Returns the text of a key, or the default if it is not set, and records the key as known. */
    private String text(String section, String key, String defaultText) {
        knownKeys.add(section + '\n' + key);
        return document.entry(section, key).map(IniEntry::value).orElse(defaultText);
    }

    private int integer(String section, String key, int defaultValue, int min, int max) {
        double value = decimal(section, key, defaultValue, min, max);
        if (value != Math.rint(value)) {
            document.entry(section, key).ifPresent(entry -> addProblem(entry, "expected a whole number"));
        }
        return (int) value;
    }

    /**
     * Returns the number of a key. If its text is not a number in the range, adds a problem and returns the default.
     */
    private double decimal(String section, String key, double defaultValue, double min, double max) {
        String text = text(section, key, String.valueOf(defaultValue));
        try {
            double value = Double.parseDouble(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        document.entry(section, key)
                .ifPresent(entry -> addProblem(entry, "expected a number from " + min + " to " + max));
        return defaultValue;
    }

    private void reportUnknownKeys() {
        String allowed =
                knownKeys.stream().map(key -> key.replace('\n', '.')).sorted().collect(Collectors.joining(", "));
        document.entries().stream()
                .filter(entry -> !entry.section().equals(FAULTS))
                .filter(entry -> !knownKeys.contains(entry.section() + '\n' + entry.key()))
                .forEach(entry -> addProblem(entry, "unknown key; allowed are " + allowed));
    }

    private void addProblem(IniEntry entry, String message) {
        problems.add("%s:%d: [%s] %s = %s: %s"
                .formatted(document.file(), entry.line(), entry.section(), entry.key(), entry.value(), message));
    }
}
