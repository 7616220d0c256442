package org.geraniumford.core.prefix;

import static java.util.Objects.requireNonNull;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;

/**
 * The chained keys of one prompt's blocks. The levels of a prompt are its consecutive parts, for example the messages
 * of a chat; other prompts may share the first ones. The prompt is split where a level ends and at the engines' block
 * size. The chain starts with a digest of the scope, so that no two customers, weights or adapters share a key. Keys
 * are SHA-256 digests truncated to 128 bits.
 */
public final class PrefixChain {
    /** The number of UTF-8 bytes that count as one token where no tokenizer is available. */
    public static final int BYTES_PER_TOKEN = 4;

    private static final String DIGEST_ALGORITHM = "SHA-256";

    private final List<Block> blocks;
    private final List<Integer> levelEnds;

    private PrefixChain(List<Block> blocks, List<Integer> levelEnds) {
        this.blocks = List.copyOf(blocks);
        this.levelEnds = List.copyOf(levelEnds);
    }

    // -- construction

    /**
     * Computes the keys of a prompt.
     *
     * @param scope the scope within which the prefixes are shared
     * @param levels the prompt's levels, in order; empty levels are skipped
     * @param blockTokens the engines' block size in tokens, at least 1
     * @return the chain of all blocks
     * @throws IllegalArgumentException if {@code blockTokens} is less than 1
     */
    public static PrefixChain of(CacheScope scope, List<String> levels, int blockTokens) {
        requireNonNull(scope, "scope is null");
        requireNonNull(levels, "levels is null");
        if (blockTokens < 1) {
            throw new IllegalArgumentException("blockTokens is " + blockTokens + ", must be at least 1");
        }
        MessageDigest digest = newDigest();
        byte[] chainDigest = scopeDigest(digest, scope);
        List<Block> blocks = new ArrayList<>();
        List<Integer> levelEnds = new ArrayList<>();
        int blockBytes = blockTokens * BYTES_PER_TOKEN;
        for (String level : levels) {
            byte[] bytes = level.getBytes(StandardCharsets.UTF_8);
            for (int start = 0; start < bytes.length; start += blockBytes) {
                int length = Math.min(blockBytes, bytes.length - start);
                digest.update(chainDigest);
                digest.update(bytes, start, length);
                chainDigest = digest.digest();
                blocks.add(new Block(keyOf(chainDigest), Math.max(1, length / BYTES_PER_TOKEN)));
            }
            if (bytes.length > 0) {
                levelEnds.add(blocks.size());
            }
        }
        return new PrefixChain(blocks, levelEnds);
    }

    // -- queries

    /**
     * Returns the prompt's blocks.
     *
     * @return all blocks, first to last
     */
    public List<Block> blocks() {
        return blocks;
    }

    /**
     * Returns the keys of the prompt's blocks.
     *
     * @return the key of each block, first to last
     */
    public List<BlockKey> keys() {
        return blocks.stream().map(Block::key).toList();
    }

    /**
     * Returns where the prompt's levels end.
     *
     * @return for each level that is not empty, the number of blocks up to its end
     */
    public List<Integer> levelEnds() {
        return levelEnds;
    }

    /**
     * Returns the number of blocks.
     *
     * @return 0 or more
     */
    public int size() {
        return blocks.size();
    }

    /**
     * Returns the estimated length of the prompt in tokens.
     *
     * @return the sum of all blocks' tokens
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

    /** Adds a field after its length, so that no two scopes are digested from the same bytes. */
    private static void updateField(MessageDigest digest, String field) {
        byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        digest.update(bytes);
    }

    private static BlockKey keyOf(byte[] chainDigest) {
        ByteBuffer buffer = ByteBuffer.wrap(chainDigest);
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
