package org.geraniumford.core.configuration;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** A kind of section in the operators' folder, with the keys that it allows. */
public enum SectionKind {
    /** A {@link Customer}. */
    CUSTOMER(
            "customer",
            "brand",
            "key_digests",
            "weight",
            "models",
            "services",
            "requests_per_second",
            "tokens_per_second",
            "max_streams"),
    /** A {@link Model}. */
    MODEL("model", "version", "weights_digest", "adapter", "runners", "max_tokens"),
    /** A {@link PriorityClass}. */
    PRIORITY_CLASS("class", "rank", "first_token_deadline_ms"),
    /** A {@link PlainService}. */
    SERVICE("service", "idempotent_methods", "timeout_ms");

    private final String label;

    @SuppressWarnings("ImmutableEnumChecker")
    private final List<String> keys;

    SectionKind(String label, String... keys) {
        this.label = label;
        this.keys = List.of(keys);
    }

    // -- construction

    /**
     * Returns the kind of a section.
     *
     * @param header the text between the brackets
     * @return the kind, or empty if the header is not a kind's label, a space and a name
     */
    public static Optional<SectionKind> ofHeader(String header) {
        return Arrays.stream(values())
                .filter(kind -> header.startsWith(kind.label + " "))
                .filter(kind -> !kind.nameIn(header).isEmpty())
                .findFirst();
    }

    // -- queries

    /**
     * Returns the label, which is the first word of the header.
     *
     * @return a word in lower case
     */
    public String label() {
        return label;
    }

    /**
     * Returns the keys that a section of this kind may set.
     *
     * @return the keys, in the order of the documentation
     */
    public List<String> keys() {
        return keys;
    }

    /**
     * Returns the name in a header of this kind.
     *
     * @param header the text between the brackets
     * @return the text after the label, without surrounding white space; empty if there is none
     */
    public String nameIn(String header) {
        return header.substring(label.length()).strip();
    }
}
