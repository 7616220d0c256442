package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.stream.Collectors;

/** Parses merged sections into a {@link Configuration}, or reports all problems in them. */
public final class ConfigurationParser {
    private static final int MAX_WEIGHT = 1_000;

    /** The maximum of each limit of a customer: requests per second, tokens per second and concurrent streams. */
    private static final int MAX_CUSTOMER_LIMIT = 1_000_000_000;

    private static final int MAX_RUNNERS = 100_000;
    private static final int MAX_RESPONSE_LIMIT_TOKENS = 10_000_000;
    private static final int DEFAULT_RESPONSE_LIMIT_TOKENS = 4_096;
    private static final int MAX_RANK = 100;
    private static final int MAX_DURATION_MILLIS = 3_600_000;
    private static final int DEFAULT_FIRST_TOKEN_DEADLINE_MILLIS = 2_000;
    private static final int DEFAULT_TIMEOUT_MILLIS = 10_000;
    private static final String MERGED_FILE_NAME = "merged";

    private final IniSections sections;
    private final List<ConfigurationProblem> problems = new ArrayList<>();

    private ConfigurationParser(IniSections sections) {
        this.sections = sections;
    }

    // -- queries

    /**
     * Parses the text of a merged folder.
     *
     * @param version the version of the configuration, at least 1
     * @param text the merged folder in INI
     * @return the configuration, or all problems found, sorted by line; their file is {@code merged}
     */
    public static ParsedConfiguration parse(long version, String text) {
        return parse(version, MergedFolder.ofAll(List.of(ConfigurationFile.of(MERGED_FILE_NAME, text))));
    }

    /**
     * Parses a merged folder.
     *
     * @param version the version of the configuration, at least 1
     * @param folder the folder
     * @return the configuration, or all problems of the single files and of the merged sections, sorted by file and
     *     line
     */
    public static ParsedConfiguration parse(long version, MergedFolder folder) {
        requireNonNull(folder, "folder is null");
        ConfigurationParser parser = new ConfigurationParser(folder.sections());
        parser.problems.addAll(folder.problems());
        return parser.parse(version);
    }

    private ParsedConfiguration parse(long version) {
        Map<String, Model> models = readSections(SectionKind.MODEL, ConfigurationParser::model);
        Map<String, PriorityClass> priorityClasses =
                readSections(SectionKind.PRIORITY_CLASS, ConfigurationParser::priorityClass);
        Map<String, PlainService> services = readSections(SectionKind.SERVICE, ConfigurationParser::service);
        Map<String, Customer> customers = readSections(SectionKind.CUSTOMER, ConfigurationParser::customer);
        reportUnknownSections();
        reportBrokenReferences(models.keySet(), services.keySet());
        reportDuplicateApiKeys();
        if (!problems.isEmpty()) {
            return new ParsedConfiguration.Rejected(problems.stream()
                    .sorted(Comparator.comparing(ConfigurationProblem::file).thenComparing(ConfigurationProblem::line))
                    .toList());
        }
        String text = sections.text();
        return new ParsedConfiguration.Accepted(
                Configuration.of(version, Sha256.hex(text), text, customers, models, priorityClasses, services));
    }

    // -- sections

    private <T> Map<String, T> readSections(SectionKind kind, BiFunction<String, SectionReader, T> reader) {
        // Two headers that differ only in the white space before the name have the same name. The section whose header
        // sorts first is then used.
        return headers(kind).stream()
                .collect(Collectors.toMap(kind::nameIn, header -> readSection(kind, header, reader), (a, b) -> a));
    }

    private <T> T readSection(SectionKind kind, String header, BiFunction<String, SectionReader, T> reader) {
        SectionReader section = section(header);
        section.reportUnknownKeys(kind.keys());
        return reader.apply(kind.nameIn(header), section);
    }

    private static Model model(String name, SectionReader section) {
        return new Model(
                name,
                section.requiredText("version"),
                section.requiredText("weights_digest"),
                section.text("adapter", ""),
                section.number("runners", 0, 0, MAX_RUNNERS),
                section.number("max_tokens", DEFAULT_RESPONSE_LIMIT_TOKENS, 1, MAX_RESPONSE_LIMIT_TOKENS));
    }

    private static PriorityClass priorityClass(String name, SectionReader section) {
        return new PriorityClass(
                name,
                section.number("rank", 0, 0, MAX_RANK),
                Duration.ofMillis(section.number(
                        "first_token_deadline_ms", DEFAULT_FIRST_TOKEN_DEADLINE_MILLIS, 1, MAX_DURATION_MILLIS)));
    }

    private static PlainService service(String name, SectionReader section) {
        return new PlainService(
                name,
                section.names("idempotent_methods"),
                Duration.ofMillis(section.number("timeout_ms", DEFAULT_TIMEOUT_MILLIS, 1, MAX_DURATION_MILLIS)));
    }

    private static Customer customer(String name, SectionReader section) {
        return new Customer(
                name,
                section.text("brand", name),
                section.digests("key_digests"),
                section.number("weight", 1, 1, MAX_WEIGHT),
                section.names("models"),
                section.names("services"),
                section.number("requests_per_second", 0, 0, MAX_CUSTOMER_LIMIT),
                section.number("tokens_per_second", 0, 0, MAX_CUSTOMER_LIMIT),
                section.number("max_streams", 0, 0, MAX_CUSTOMER_LIMIT));
    }

    // -- checks across sections

    private void reportUnknownSections() {
        String allowed = java.util.Arrays.stream(SectionKind.values())
                .map(kind -> "[" + kind.label() + " NAME]")
                .collect(Collectors.joining(", "));
        sections.sections().keySet().stream()
                .filter(header -> SectionKind.ofHeader(header).isEmpty())
                .forEach(header -> section(header).report("", "unknown section; allowed are " + allowed));
    }

    private void reportBrokenReferences(Set<String> models, Set<String> services) {
        headers(SectionKind.CUSTOMER).stream().map(this::section).forEach(customer -> {
            customer.reportUnknownNames("models", models, "model");
            customer.reportUnknownNames("services", services, "service");
        });
    }

    private void reportDuplicateApiKeys() {
        Map<String, String> headersByDigest = new HashMap<>();
        headers(SectionKind.CUSTOMER)
                .forEach(header -> section(header).names("key_digests").stream()
                        .map(digest -> headersByDigest.putIfAbsent(digest, header))
                        .filter(otherHeader -> otherHeader != null)
                        .forEach(otherHeader ->
                                section(header).report("key_digests", "[" + otherHeader + "] has the same key")));
    }

    private List<String> headers(SectionKind kind) {
        return sections.sections().keySet().stream()
                .filter(header ->
                        SectionKind.ofHeader(header).filter(kind::equals).isPresent())
                .toList();
    }

    private SectionReader section(String header) {
        return new SectionReader(header, sections.sections().get(header), problems::add);
    }
}
