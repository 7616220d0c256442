package org.geraniumford.daemon.streams;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.geraniumford.core.stream.StreamBatch;
import org.geraniumford.core.stream.StreamOrigin;
import org.geraniumford.core.time.SharedClock;
import org.junit.jupiter.api.Test;

/** Guards against streams whose rows are removed early, because entries read the shared clock differently. */
final class StreamRecorderTest {
    private static final long START_MILLIS = 1_000_000;

    private long nowMillis = START_MILLIS;
    private final RowStore store = new RowStore(() -> nowMillis);

    private SharedClock clockBehind(long millis) {
        SharedClock clock = SharedClock.of(() -> nowMillis * 1_000_000);
        clock.observe(nowMillis - millis);
        return clock;
    }

    /** Guards against a row that a host wrote after a suspension, before it had read the shared clock again. */
    @Test
    void shouldNotRemoveARowThatItsWriterDatedTooEarly() {
        StreamOrigin origin = new StreamOrigin(1, "service", "v1", START_MILLIS);
        store.batches.put("streams/a/1/0", new StreamBatch(START_MILLIS - 60_000, List.of(origin)));
        StreamRecorder recorder = new StreamRecorder("b", clockBehind(0));
        readAndWrite(recorder);
        assertThat(store.batches).containsKey("streams/a/1/0");
        nowMillis += 39_000;
        readAndWrite(recorder);
        assertThat(store.batches).containsKey("streams/a/1/0");
        nowMillis += 2000;
        readAndWrite(recorder);
        assertThat(store.batches).doesNotContainKey("streams/a/1/0");
    }

    private void readAndWrite(StreamRecorder recorder) {
        recorder.removeExpired(store.read().join());
        LongStream.range(0, 2).forEach(key -> {
            recorder.add(List.of(new StreamOrigin(key + nowMillis, "service", "v1", nowMillis)));
            recorder.tick(store);
        });
    }
}
