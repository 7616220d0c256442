package org.geraniumford.daemon.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumford.core.prefix.BlockKey;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.prefix.PrefixChain;

/** Generates the texts of prompt levels and caches them. Thread-safe. */
final class PromptTexts {
    private final Map<Arrival.Level, String> texts = new ConcurrentHashMap<>();

    /** Returns the texts of an arrival's levels that are not empty, outermost first. */
    List<String> levelTexts(Arrival arrival) {
        return arrival.levels().stream()
                .filter(level -> level.tokens() > 0)
                .map(level -> texts.computeIfAbsent(level, PromptTexts::generate))
                .toList();
    }

    /**
     * Returns the keys of an arrival's blocks; customers share no key. The keys differ from the router's, because
     * {@code weights} stands in place of a weights digest.
     */
    List<BlockKey> blockKeys(Arrival arrival, int blockTokens) {
        CacheScope scope = new CacheScope("customer-" + arrival.customer(), "weights", "");
        List<String> messages =
                levelTexts(arrival).stream().map(ChatBody::toPromptText).toList();
        return PrefixChain.of(scope, messages, blockTokens).keys();
    }

    /** Generates a text that has the level's number of tokens after the router has added its bytes to the message. */
    private static String generate(Arrival.Level level) {
        int length = level.tokens() * PrefixChain.BYTES_PER_TOKEN - ChatBody.MESSAGE_OVERHEAD_BYTES;
        String line = "Text of " + level.name() + ". ";
        return line.repeat(length / line.length() + 1).substring(0, length);
    }
}
