package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.geraniumford.core.prompt.PromptSpec;

/**
 * A prompt within the scope in which its parts may be shared. The parts' keys are computed once, since every server is
 * asked for them.
 *
 * @param prompt the prompt's shape
 * @param segments its parts in order; the last one belongs to the request or its session
 */
public record ScopedPrompt(PromptSpec prompt, List<ScopedSegment> segments) {
    /** Checks and copies the components. */
    public ScopedPrompt {
        requireNonNull(prompt, "prompt is null");
        segments = List.copyOf(segments);
    }

    // -- construction

    /**
     * Places a prompt within a scope.
     *
     * @param scope the scope
     * @param prompt the prompt's shape
     * @return the prompt with the keys of its parts
     */
    public static ScopedPrompt of(String scope, PromptSpec prompt) {
        requireNonNull(scope, "scope is null");
        return new ScopedPrompt(
                prompt,
                prompt.segments().stream()
                        .map(part -> ScopedSegment.of(scope, part))
                        .toList());
    }

    // -- queries

    /**
     * Returns the parts that other requests may share.
     *
     * @return all parts but the last
     */
    public List<ScopedSegment> sharedSegments() {
        return segments.subList(0, Math.max(0, segments.size() - 1));
    }

    /**
     * Returns the length of the parts that other requests may share.
     *
     * @return their tokens
     */
    public long sharedTokens() {
        return sharedSegments().stream().mapToLong(ScopedSegment::tokens).sum();
    }
}
