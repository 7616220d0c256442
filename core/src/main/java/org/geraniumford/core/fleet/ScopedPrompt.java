package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.geraniumford.core.prompt.PromptSpec;

/**
 * A prompt within the scope in which its segments may be shared. The segments' keys are computed once, because they are
 * looked up for every candidate server.
 *
 * @param prompt the prompt's model and sizes
 * @param segments the prompt's segments, in order; the last one belongs to the request or its session
 */
public record ScopedPrompt(PromptSpec prompt, List<ScopedSegment> segments) {
    /** Checks and copies the components. */
    public ScopedPrompt {
        requireNonNull(prompt, "prompt is null");
        segments = List.copyOf(segments);
    }

    // -- construction

    /**
     * Computes the keys of a prompt's segments within a scope.
     *
     * @param scope the scope, whose name is part of every key
     * @param prompt the prompt's model, sizes and segments
     * @return the prompt with the keys of its segments
     */
    public static ScopedPrompt of(SegmentScope scope, PromptSpec prompt) {
        String name = requireNonNull(scope, "scope is null").name();
        return new ScopedPrompt(
                prompt,
                prompt.segments().stream()
                        .map(segment -> ScopedSegment.of(name, segment))
                        .toList());
    }

    // -- queries

    /**
     * Returns the segments that other requests may share.
     *
     * @return all segments except the last
     */
    public List<ScopedSegment> sharedSegments() {
        return segments.subList(0, Math.max(0, segments.size() - 1));
    }

    /**
     * Returns the length of the segments that other requests may share.
     *
     * @return the number of tokens
     */
    public long sharedTokens() {
        return sharedSegments().stream().mapToLong(ScopedSegment::tokens).sum();
    }
}
