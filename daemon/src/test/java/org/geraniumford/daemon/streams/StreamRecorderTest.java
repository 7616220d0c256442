package org.geraniumford.daemon.streams;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.geraniumford.core.stream.StreamBatch;
import org.geraniumford.core.stream.StreamOrigin;
import org.geraniumford.core.time.SharedClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against streams that no entry records, or whose rows are removed early, because entries read the shared clock
 * differently or hear different entries.
 */
final class StreamRecorderTest {
    private static final long START_MILLIS = 1_000_000;
    private static final long STEP_MILLIS = 100;
    private static final long STREAMS = 100;

    private long nowMillis = START_MILLIS;
    private final RowStore store = new RowStore(() -> nowMillis);

    private SharedClock clockBehind(long millis) {
        SharedClock clock = SharedClock.of(() -> nowMillis * 1_000_000);
        clock.observe(nowMillis - millis);
        return clock;
    }

    /** Tells two entries of a stream in each step, and returns how many of them were recorded in the end. */
    private long recordedBy(StreamRecorder first, StreamRecorder second) {
        for (long key = 0; key < STREAMS; key++) {
            List<StreamOrigin> begun = List.of(new StreamOrigin(key, "service", "v1", nowMillis));
            for (StreamRecorder recorder : List.of(first, second)) {
                recorder.add(begun);
                recorder.tick(store);
            }
            nowMillis += STEP_MILLIS;
        }
        return store.batches.values().stream()
                .flatMap(batch -> batch.origins().stream())
                .map(StreamOrigin::requestKey)
                .distinct()
                .count();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 200, 1000})
    void shouldRecordEachStreamAlthoughOneEntryReadsTheClockLate(long behindMillis) {
        StreamRecorder first = new StreamRecorder("a", clockBehind(0));
        StreamRecorder second = new StreamRecorder("b", clockBehind(behindMillis));
        first.updatePeers(Set.of("b"));
        second.updatePeers(Set.of("a"));
        // The last ones wait for the next turn.
        assertThat(recordedBy(first, second)).isGreaterThan(STREAMS - 10);
    }

    @Test
    void shouldRecordEachStreamAlthoughOneEntryHearsAThirdThatTheOtherDoesNotHear() {
        StreamRecorder first = new StreamRecorder("a", clockBehind(0));
        StreamRecorder second = new StreamRecorder("b", clockBehind(0));
        first.updatePeers(Set.of("b"));
        second.updatePeers(Set.of("a", "c"));
        assertThat(recordedBy(first, second)).isGreaterThan(STREAMS - 10);
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
