package org.geraniumford.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.prefix.BlockKey;

/**
 * What one attempt needs.
 *
 * @param modelVersion the model version
 * @param weightsDigest the digest of its weights
 * @param failureDomain the entry's failure domain
 * @param blocks the prompt's pieces
 * @param levelEnds the number of pieces up to the end of each prompt level
 * @param hint where a prefix of the prompt was last served
 * @param avoidedHosts hosts that failed an earlier attempt of the request
 * @param salt a number that differs between requests, for choices without preference
 */
public record RouteQuery(
        String modelVersion,
        String weightsDigest,
        String failureDomain,
        List<Block> blocks,
        List<Integer> levelEnds,
        Optional<Hint> hint,
        Set<String> avoidedHosts,
        long salt) {
    private static final int MAX_SHARED_PREFIXES = 3;

    /** Checks the components and copies the collections. */
    public RouteQuery {
        requireNonNull(modelVersion, "modelVersion is null");
        requireNonNull(weightsDigest, "weightsDigest is null");
        requireNonNull(failureDomain, "failureDomain is null");
        requireNonNull(hint, "hint is null");
        blocks = List.copyOf(blocks);
        levelEnds = List.copyOf(levelEnds);
        avoidedHosts = Set.copyOf(avoidedHosts);
    }

    // -- queries

    /**
     * Returns the prefixes that other requests are likely to share, by their lengths: the ends of all levels but the
     * last, or parts of a prompt that has one level.
     *
     * @return up to three numbers of pieces, the longest first; empty if there are no pieces
     */
    public List<Integer> sharedPrefixLengths() {
        List<Integer> shared =
                levelEnds.size() > 1 ? levelEnds.subList(0, levelEnds.size() - 1) : singleLevelPrefixLengths();
        return shared.stream()
                .distinct()
                .sorted(Comparator.reverseOrder())
                .limit(MAX_SHARED_PREFIXES)
                .toList();
    }

    /**
     * Returns the length of the longest prefix that other requests are likely to share.
     *
     * @return a number of pieces
     */
    public int sharedBlocks() {
        return sharedPrefixLengths().stream().findFirst().orElse(0);
    }

    /**
     * Returns the key of a prefix.
     *
     * @param depth a number of pieces, at least 1
     * @return the key of the last of these pieces
     */
    public BlockKey keyAt(int depth) {
        return blocks.get(depth - 1).key();
    }

    /**
     * Counts the tokens from some piece on.
     *
     * @param from the number of pieces to leave out
     * @return the sum of the others' tokens
     */
    public long tokensFrom(int from) {
        return blocks.stream().skip(from).mapToLong(Block::tokens).sum();
    }

    private List<Integer> singleLevelPrefixLengths() {
        int size = blocks.size();
        if (size == 0) {
            return List.of();
        }
        return List.of(Math.max(1, size - 1), Math.max(1, size / 2), 1);
    }
}
