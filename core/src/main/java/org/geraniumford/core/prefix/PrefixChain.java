package org.geraniumford.core.prefix;

import static java.util.Objects.requireNonNull;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;

/**
 * The chained keys of one prompt, split at its level boundaries and at the engines' piece size. The first link holds
 * the scope, so that no two customers, weights or adapters share a key. The digest is SHA-256 cut to 128 bits.
 */
public final class PrefixChain {
    /** The number of UTF-8 bytes that stand for one token where no tokenizer is at hand. */
    public static final int BYTES_PER_TOKEN = 4;

    private static final String DIGEST_ALGORITHM = "SHA-256";

    private final List<Block> blocks;
    private final List<Integer> levelEnds;

    private PrefixChain(List<Block> pieces, List<Integer> levelEnds) {
        this.blocks = List.copyOf(pieces);
        this.levelEnds = List.copyOf(levelEnds);
    }

    // -- construction

    /**
     * Computes the keys of a prompt.
     *
     * @param scope what the prefixes belong to
     * @param levels the prompt's levels, outermost first; empty ones are passed over
     * @param pieceTokens the engines' piece size in tokens, at least 1
     * @return the chain of all pieces
     * @throws IllegalArgumentException if {@code pieceTokens} is less than 1
     */
    public static PrefixChain of(CacheScope scope, List<String> levels, int pieceTokens) {
        requireNonNull(scope, "scope is null");
        requireNonNull(levels, "levels is null");
        if (pieceTokens < 1) {
            throw new IllegalArgumentException("pieceTokens is " + pieceTokens + ", not at least 1");
        }
        MessageDigest digest = newDigest();
        byte[] link = scopeDigest(digest, scope);
        List<Block> pieces = new ArrayList<>();
        List<Integer> levelEnds = new ArrayList<>();
        int pieceBytes = pieceTokens * BYTES_PER_TOKEN;
        for (String level : levels) {
            byte[] bytes = level.getBytes(StandardCharsets.UTF_8);
            for (int start = 0; start < bytes.length; start += pieceBytes) {
                int length = Math.min(pieceBytes, bytes.length - start);
                digest.update(link);
                digest.update(bytes, start, length);
                link = digest.digest();
                pieces.add(new Block(keyOf(link), Math.max(1, length / BYTES_PER_TOKEN)));
            }
            if (bytes.length > 0) {
                levelEnds.add(pieces.size());
            }
        }
        return new PrefixChain(pieces, levelEnds);
    }

    // -- queries

    /**
     * Returns the pieces.
     *
     * @return all pieces, first to last
     */
    public List<Block> blocks() {
        return blocks;
    }

    /**
     * Returns the keys.
     *
     * @return the key of each piece, first to last
     */
    public List<BlockKey> keys() {
        return blocks.stream().map(Block::key).toList();
    }

    /**
     * Returns where the prompt's levels end.
     *
     * @return for each level that is not empty, the number of pieces up to its end
     */
    public List<Integer> levelEnds() {
        return levelEnds;
    }

    /**
     * Returns the number of pieces.
     *
     * @return 0 or more
     */
    public int size() {
        return blocks.size();
    }

    /**
     * Returns the estimated length of the prompt.
     *
     * @return the sum of all pieces' tokens
     */
    public int tokens() {
        return blocks.stream().mapToInt(Block::tokens).sum();
    }

    // -- digests

    private static byte[] scopeDigest(MessageDigest digest, CacheScope scope) {
        updateField(digest, scope.customer());
        updateField(digest, scope.weightsDigest());
        updateField(digest, scope.adapter());
        return digest.digest();
    }

    private static void updateField(MessageDigest digest, String field) {
        byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        digest.update(bytes);
    }

    private static BlockKey keyOf(byte[] link) {
        ByteBuffer buffer = ByteBuffer.wrap(link);
        return new BlockKey(buffer.getLong(), buffer.getLong());
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance(DIGEST_ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(DIGEST_ALGORITHM + " is part of every Java platform", e);
        }
    }
}
