package org.geraniumford.daemon.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumford.core.prefix.BlockKey;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.prefix.PrefixChain;

/** The texts of prompt levels, remembered by name. Thread-safe. */
final class PromptTexts {
    private final Map<Arrival.Level, String> texts = new ConcurrentHashMap<>();

    List<String> levelTexts(Arrival arrival) {
        return arrival.levels().stream()
                .filter(level -> level.tokens() > 0)
                .map(level -> texts.computeIfAbsent(level, PromptTexts::generate))
                .toList();
    }

    List<BlockKey> blockKeys(Arrival arrival, int pieceTokens) {
        CacheScope scope = new CacheScope("customer-" + arrival.customer(), "weights", "");
        List<String> messages =
                levelTexts(arrival).stream().map(ChatBody::toPromptText).toList();
        return PrefixChain.of(scope, messages, pieceTokens).keys();
    }

    private static String generate(Arrival.Level level) {
        int length = level.tokens() * PrefixChain.BYTES_PER_TOKEN - ChatBody.MESSAGE_OVERHEAD_BYTES;
        String line = "Text of " + level.name() + ". ";
        return line.repeat(length / line.length() + 1).substring(0, length);
    }
}
