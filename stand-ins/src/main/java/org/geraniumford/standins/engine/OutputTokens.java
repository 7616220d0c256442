package org.geraniumford.standins.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;

/**
 * The answer to a prompt. Each token is a function of the prompt, the weights and its offset.
 *
 * @param seed the digest of the prompt and the weights
 */
public record OutputTokens(long seed) {
    private static final List<String> WORDS = List.of(
            "amakuru", "ikipe", "umukino", "the", "minutes", "of", "vote", "club", "woreda", "budget", "le", "journal",
            "road", "water", "school", "result");

    // -- construction

    /**
     * Starts an answer.
     *
     * @param prompt the whole prompt
     * @param weightsDigest the weights that answer
     * @return its tokens
     */
    public static OutputTokens of(String prompt, String weightsDigest) {
        return new OutputTokens(Hashing.komihash5_0()
                .hashStream()
                .putString(weightsDigest)
                .putString(prompt)
                .getAsLong());
    }

    // -- queries

    /**
     * Returns a token.
     *
     * @param offset the number of tokens before it
     * @return its text, with a leading space
     */
    public String token(int offset) {
        long hash =
                Hashing.komihash5_0().hashStream().putLong(seed).putInt(offset).getAsLong();
        String word = WORDS.get((int) Long.remainderUnsigned(hash, WORDS.size()));
        return " " + word + Long.toHexString(hash >>> 52);
    }
}
