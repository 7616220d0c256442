package org.geraniumford.standins.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;

/**
 * The output tokens of a prompt. Each is a function of the prompt, the weights and the offset, so that a resumed output
 * continues with the same tokens.
 *
 * @param seed the hash of the prompt and the weights digest
 */
public record OutputTokens(long seed) {
    private static final List<String> WORDS = List.of(
            "amakuru", "ikipe", "umukino", "the", "minutes", "of", "vote", "club", "woreda", "budget", "le", "journal",
            "road", "water", "school", "result");

    // -- construction

    /**
     * Returns the output tokens of a prompt.
     *
     * @param prompt the text of the prompt
     * @param weightsDigest the digest of the weights that compute the output
     * @return the output tokens
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
     * Returns the token at an offset.
     *
     * @param offset the number of output tokens before it
     * @return a space, a word and up to three hexadecimal digits
     */
    public String token(int offset) {
        long hash =
                Hashing.komihash5_0().hashStream().putLong(seed).putInt(offset).getAsLong();
        String word = WORDS.get((int) Long.remainderUnsigned(hash, WORDS.size()));
        return " " + word + Long.toHexString(hash >>> 52);
    }
}
