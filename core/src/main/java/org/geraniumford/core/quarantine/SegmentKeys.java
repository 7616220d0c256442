package org.geraniumford.core.quarantine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import org.geraniumford.core.fleet.ScopedSegment;
import org.geraniumford.core.prompt.PromptSpec;

/** The keys by which entries name prompt segments and servers to each other. */
public final class SegmentKeys {
    private static final int MAX_SEGMENTS_PER_PROMPT = 16;

    private SegmentKeys() {}

    /**
     * Returns the keys of the segments that other requests may share. They do not depend on the customer, because an
     * engine ends under a segment whoever sends it.
     *
     * @param prompt the prompt
     * @return the keys of the first 16 segments, in order, without the last segment of the prompt
     */
    public static List<Long> shared(PromptSpec prompt) {
        return prompt.segments().stream()
                .limit(Math.max(0, prompt.segments().size() - 1))
                .limit(MAX_SEGMENTS_PER_PROMPT)
                .map(segment -> ScopedSegment.of(prompt.model(), segment).key())
                .distinct()
                .toList();
    }

    /**
     * Returns the key of one incarnation of a backend server.
     *
     * @param server the server's name
     * @param incarnation the server's incarnation
     * @return a hash of both, the same at every entry
     */
    public static long server(String server, long incarnation) {
        return Hashing.xxh3_64()
                .hashStream()
                .putLong(incarnation)
                .putString(server)
                .getAsLong();
    }
}
