package org.geraniumford.transport.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.PreciseTimestamp;

final class RingWriterTest {
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final RingWriter writer = new RingWriter(new PrintStream(written, true, StandardCharsets.UTF_8), false);

    private static LogEntry entry(String message) {
        return new LogEntry(
                new PreciseTimestamp(Instant.EPOCH.toEpochMilli(), 0),
                Thread.currentThread(),
                null,
                "class",
                "method",
                "file",
                1,
                null,
                Level.INFO,
                message,
                null);
    }

    @Test
    void shouldWriteLinesInOrderWhenFlushed() {
        writer.write(entry("event=a"));
        writer.write(entry("event=b"));
        writer.flush();
        assertThat(written.toString(StandardCharsets.UTF_8).lines())
                .allMatch(line -> line.matches("time=[0-9:.]{12} level=INFO event=[ab]"))
                .hasSize(2)
                .last()
                .asString()
                .endsWith("event=b");
    }

    @Test
    void shouldDropAndCountLinesWhenTheRingIsFull() {
        long before = RingWriter.dropped();
        for (int i = 0; i < RingWriter.CAPACITY_LINES + 5; i++) {
            writer.write(entry("event=many"));
        }
        assertThat(RingWriter.dropped() - before).isEqualTo(5);
        writer.flush();
        assertThat(written.toString(StandardCharsets.UTF_8).lines())
                .hasSize(RingWriter.CAPACITY_LINES + 1)
                .last()
                .asString()
                .isEqualTo("level=WARN event=log_lines_dropped count=5");
    }
}
