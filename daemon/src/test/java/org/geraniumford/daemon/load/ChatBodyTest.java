package org.geraniumford.daemon.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.prefix.PrefixChain;
import org.junit.jupiter.api.Test;

/**
 * Guards against prompt levels whose text does not fill whole blocks because the router's framing of messages was not
 * counted: the offline bound would then be computed over other blocks than those of the router.
 */
class ChatBodyTest {
    @Test
    void shouldFillWholeBlocksWhenTheRouterFramesTheMessages() {
        Arrival arrival = new Arrival(0, 0, List.of(new Arrival.Level("c0", 1600), new Arrival.Level("c0/q0", 200)));
        List<String> contents = new PromptTexts().levelTexts(arrival);
        List<String> framedMessages =
                contents.stream().map(content -> "user: " + content + "\n").toList();
        PrefixChain chain = PrefixChain.of(new CacheScope("customer-0", "weights", ""), framedMessages, 800);
        assertThat(chain.tokens()).isEqualTo(1800);
        assertThat(chain.keys()).hasSize(3).isEqualTo(new PromptTexts().blockKeys(arrival, 800));
    }
}
