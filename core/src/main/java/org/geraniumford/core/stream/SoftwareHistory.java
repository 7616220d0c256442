package org.geraniumford.core.stream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.geraniumford.core.text.LineField;

/**
 * Which versions of their software the servers of each service had, and when. It tells at which version a stream of
 * unknown origin began: at the only one that there was for as long as the stream can have lasted. Immutable.
 */
public final class SoftwareHistory {
    /** How long a version is remembered after its last server has left; longer than any stream lasts. */
    private static final Duration MEMORY = Duration.ofMinutes(2);

    private static final String SEPARATOR = " ";
    private static final String OPEN = "-";
    private static final int FIELDS = 4;
    private static final SoftwareHistory EMPTY = new SoftwareHistory(List.of());

    private final List<SoftwareSpan> spans;

    private SoftwareHistory(List<SoftwareSpan> spans) {
        this.spans = spans;
    }

    // -- construction

    /**
     * Returns the history of no service.
     *
     * @return an empty history
     */
    public static SoftwareHistory empty() {
        return EMPTY;
    }

    private static SoftwareHistory of(Stream<SoftwareSpan> spans) {
        return new SoftwareHistory(
                spans.sorted(Comparator.comparing(SoftwareSpan::service).thenComparing(SoftwareSpan::version))
                        .toList());
    }

    /**
     * Decodes a history.
     *
     * @param text an encoded history
     * @return the history, or empty if the text is not one
     */
    public static Optional<SoftwareHistory> decode(String text) {
        try {
            return Optional.of(of(text.lines().map(line -> decodeSpan(line.split(SEPARATOR, -1)))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static SoftwareSpan decodeSpan(String[] fields) {
        if (fields.length != FIELDS) {
            throw new IllegalArgumentException(
                    "a line does not have " + FIELDS + " fields: " + Arrays.toString(fields));
        }
        return new SoftwareSpan(
                LineField.decode(fields[0]),
                LineField.decode(fields[1]),
                Long.parseLong(fields[2]),
                fields[3].equals(OPEN) ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(fields[3])));
    }

    // -- queries

    /**
     * Encodes the history.
     *
     * @return one line for each version of each service
     */
    public String encode() {
        return spans.stream()
                .map(span -> String.join(
                        SEPARATOR,
                        LineField.encode(span.service()),
                        LineField.encode(span.version()),
                        String.valueOf(span.fromMillis()),
                        span.isOpen() ? OPEN : String.valueOf(span.untilMillis().getAsLong())))
                .collect(Collectors.joining("\n"));
    }

    /**
     * Returns the services whose servers are known.
     *
     * @return the names of the services
     */
    public Set<String> services() {
        return spans.stream().map(SoftwareSpan::service).collect(Collectors.toSet());
    }

    /**
     * Returns the versions that servers of a service have had lately.
     *
     * @param service the name of the service
     * @param sinceMillis the begin of the time that matters
     * @return the versions that some server had then or later
     */
    public Set<String> versionsSince(String service, long sinceMillis) {
        return spans.stream()
                .filter(span -> span.service().equals(service) && span.lastsSince(sinceMillis))
                .map(SoftwareSpan::version)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the versions that have servers as far as is known.
     *
     * @return the versions that have not ended, by the names of their services
     */
    public Map<String, Set<String>> openVersions() {
        return spans.stream()
                .filter(SoftwareSpan::isOpen)
                .collect(Collectors.groupingBy(
                        SoftwareSpan::service, Collectors.mapping(SoftwareSpan::version, Collectors.toSet())));
    }

    /**
     * Returns whether some service has several versions.
     *
     * @return true if it has them, or had them within the time that is remembered
     */
    public boolean hasSeveralVersions() {
        return services().size() < spans.size();
    }

    /**
     * Returns whether the versions of a service are known for long enough.
     *
     * @param service the name of the service
     * @param sinceMillis the begin of the time that matters
     * @return true if the history of the service begins then or earlier
     */
    public boolean reachesBackTo(String service, long sinceMillis) {
        return spans.stream().anyMatch(span -> span.service().equals(service) && span.fromMillis() <= sinceMillis);
    }

    // -- combinators

    /**
     * Returns this history after a look at the list of servers.
     *
     * @param listed the versions of the listed servers of each service
     * @param nowMillis the time on the clock that all entries share
     * @return this history if nothing has changed
     */
    public SoftwareHistory observe(Map<String, Set<String>> listed, long nowMillis) {
        requireNonNull(listed, "listed is null");
        List<SoftwareSpan> observed = new ArrayList<>();
        for (SoftwareSpan span : spans) {
            boolean present = listed.getOrDefault(span.service(), Set.of()).contains(span.version());
            if (present) {
                observed.add(span.isOpen() ? span : span.reopened());
            } else if (span.isOpen()) {
                observed.add(span.endedAt(nowMillis));
            } else if (span.lastsSince(nowMillis - MEMORY.toMillis())) {
                observed.add(span);
            }
        }
        listed.forEach((service, versions) -> versions.stream()
                .filter(version -> spans.stream()
                        .noneMatch(span ->
                                span.service().equals(service) && span.version().equals(version)))
                .forEach(version -> observed.add(new SoftwareSpan(service, version, nowMillis, OptionalLong.empty()))));
        return observed.equals(spans) ? this : of(observed.stream());
    }

    /**
     * Returns what this history and another one tell together.
     *
     * @param other the other history
     * @return a history in which a version has servers if it has some in either
     */
    public SoftwareHistory joinedWith(SoftwareHistory other) {
        BinaryOperator<SoftwareSpan> join = SoftwareSpan::joinedWith;
        Map<List<String>, SoftwareSpan> joined = Stream.concat(spans.stream(), other.spans.stream())
                .collect(Collectors.toMap(span -> List.of(span.service(), span.version()), Function.identity(), join));
        return of(joined.values().stream());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SoftwareHistory history && history.spans.equals(spans);
    }

    @Override
    public int hashCode() {
        return spans.hashCode();
    }

    @Override
    public String toString() {
        return encode();
    }
}
