package org.geraniumford.trials.measure;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * A client of an entry's metrics that reads its retry counters.
 *
 * @param operatorAddress the host and port on which the entry accepts operators
 */
record EntryMetricsClient(String operatorAddress) {
    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static final Pattern RETRIES_PATTERN =
            Pattern.compile("^geraniumford_retries_total\\{reason=\"([a-z_]+)\"\\} ([0-9.E]+)$", Pattern.MULTILINE);

    /** Returns, by reason, the number of retries since the entry started, without the reasons that have none. */
    Map<String, Long> retriesByReason() throws IOException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + operatorAddress + "/metrics"))
                .build();
        try {
            return parseRetries(
                    CLIENT.send(request, HttpResponse.BodyHandlers.ofString()).body());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for the entry's metrics", e);
        }
    }

    /** Returns the number of retries by reason from metrics in the Prometheus text format, without zero counts. */
    static Map<String, Long> parseRetries(String metrics) {
        Map<String, Long> countsByReason = RETRIES_PATTERN
                .matcher(metrics)
                .results()
                .collect(Collectors.toMap(
                        match -> match.group(1), EntryMetricsClient::parseCount, Long::sum, TreeMap::new));
        countsByReason.values().removeIf(count -> count == 0);
        return countsByReason;
    }

    private static long parseCount(MatchResult match) {
        return Math.round(Double.parseDouble(match.group(2)));
    }
}
