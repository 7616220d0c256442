package org.geraniumford.daemon.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.prefix.PieceKey;
import org.geraniumford.core.prefix.PrefixChain;

/** The texts of prompt levels, remembered by name. Thread-safe. */
final class PromptText {
    private final Map<Arrival.Level, String> texts = new ConcurrentHashMap<>();

    List<String> levels(Arrival arrival) {
        return arrival.levels().stream()
                .filter(level -> level.tokens() > 0)
                .map(level -> texts.computeIfAbsent(level, PromptText::generate))
                .toList();
    }

    List<PieceKey> keys(Arrival arrival, int pieceTokens) {
        CacheScope scope = new CacheScope("customer-" + arrival.customer(), "weights", "");
        List<String> messages = levels(arrival).stream().map(ChatBody::asRouted).toList();
        return PrefixChain.of(scope, messages, pieceTokens).keys();
    }

    private static String generate(Arrival.Level level) {
        int length = level.tokens() * PrefixChain.BYTES_PER_TOKEN - ChatBody.FRAME_BYTES;
        String line = "Text of " + level.name() + ". ";
        return line.repeat(length / line.length() + 1).substring(0, length);
    }
}
