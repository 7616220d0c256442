package org.geraniumford.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.prefix.BlockKey;

/**
 * The requirements that one attempt places on its host.
 *
 * @param modelVersion the model version
 * @param weightsDigest the digest of the model version's weights
 * @param failureDomain the entry's failure domain
 * @param blocks the prompt's blocks, first to last
 * @param levelEnds the number of blocks up to the end of each level that is not empty; the levels of a prompt are its
 *     consecutive parts, for example the messages of a chat
 * @param hint the host that last served a prefix of the prompt; empty if there is none
 * @param avoidedHosts the names of the hosts at which earlier attempts of the request failed
 * @param salt a number that differs between requests, used for random choices
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
     * Returns the lengths of the prefixes that other requests are likely to share. These are the prefixes up to the end
     * of each level except the last. For a prompt with one level, they are all blocks but the last, the first half of
     * the blocks and the first block alone, each at least one block long.
     *
     * @return the three largest of these lengths, or fewer, as numbers of blocks, the largest first; empty if there are
     *     no blocks
     */
    public List<Integer> sharedPrefixLengths() {
        List<Integer> lengths =
                levelEnds.size() > 1 ? levelEnds.subList(0, levelEnds.size() - 1) : singleLevelPrefixLengths();
        return lengths.stream()
                .distinct()
                .sorted(Comparator.reverseOrder())
                .limit(MAX_SHARED_PREFIXES)
                .toList();
    }

    /**
     * Returns the length of the longest prefix that other requests are likely to share.
     *
     * @return the number of blocks; 0 if there are none
     */
    public int sharedBlockCount() {
        return sharedPrefixLengths().stream().findFirst().orElse(0);
    }

    /**
     * Returns the key of a prefix.
     *
     * @param length the number of blocks in the prefix, at least 1
     * @return the key of the prefix's last block
     */
    public BlockKey keyAt(int length) {
        return blocks.get(length - 1).key();
    }

    /**
     * Counts the tokens after a prefix.
     *
     * @param prefixLength the number of leading blocks to skip
     * @return the sum of the remaining blocks' tokens
     */
    public long tokensFrom(int prefixLength) {
        return blocks.stream().skip(prefixLength).mapToLong(Block::tokens).sum();
    }

    private List<Integer> singleLevelPrefixLengths() {
        int size = blocks.size();
        if (size == 0) {
            return List.of();
        }
        return List.of(Math.max(1, size - 1), Math.max(1, size / 2), 1);
    }
}
