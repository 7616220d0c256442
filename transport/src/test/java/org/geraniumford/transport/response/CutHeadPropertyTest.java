package org.geraniumford.transport.response;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Random responses, of which the first is cut within its head and continued by the second. */
final class CutHeadPropertyTest {
    private static final int MAX_PIECE_BYTES = 40;

    private static DecodedResponses decodeInPieces(String bytes, Random random) {
        DecodedResponses decoded = new DecodedResponses();
        for (int from = 0; from < bytes.length(); ) {
            int to = Math.min(bytes.length(), from + 1 + random.nextInt(MAX_PIECE_BYTES));
            decoded.write(bytes.substring(from, to));
            from = to;
        }
        decoded.close();
        return decoded;
    }

    private static void assertThatNoHeadIsMixed(long seed) {
        Random random = new Random(seed);
        RandomResponse first = RandomResponse.of(random);
        RandomResponse second = RandomResponse.of(random);
        int cut = 1 + random.nextInt(first.bytesOfHeads().length() - 1);
        DecodedResponses decoded = decodeInPieces(first.bytesOfHeads().substring(0, cut) + second.bytes(), random);
        List<String> own = new ArrayList<>(first.heads());
        own.addAll(second.heads());
        assertThat(own).containsAll(decoded.soundHeads());
        if (!second.isSuccess()) {
            assertThat(decoded.statuses()).noneMatch(status -> status / 100 == 2);
        }
    }

    private static void assertThatBothAreDecoded(long seed) {
        Random random = new Random(seed);
        RandomResponse first = RandomResponse.of(random);
        RandomResponse second = RandomResponse.of(random);
        List<String> heads = new ArrayList<>(first.heads());
        String bytes = first.bytes();
        String body = first.body();
        if (first.isEndMarked()) {
            heads.addAll(second.heads());
            bytes += second.bytes();
            body += second.body();
        }
        DecodedResponses decoded = decodeInPieces(bytes, random);
        assertThat(decoded.failures()).isEmpty();
        assertThat(decoded.soundHeads()).isEqualTo(heads);
        assertThat(decoded.body()).isEqualTo(body);
        assertThat(decoded.complete()).isEqualTo(heads.size());
    }

    @Property(seed = "44", tries = 5_000)
    void shouldNotMixTwoHeadsWhenTheFirstIsCut(@ForAll long seed) {
        assertThatNoHeadIsMixed(seed);
    }

    @Property(seed = "45", tries = 5_000)
    void shouldPassOnBothResponsesWhenNeitherIsCut(@ForAll long seed) {
        assertThatBothAreDecoded(seed);
    }
}
