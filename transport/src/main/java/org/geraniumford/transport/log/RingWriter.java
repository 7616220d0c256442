package org.geraniumford.transport.log;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.jctools.queues.MpscArrayQueue;
import org.tinylog.core.LogEntry;
import org.tinylog.writers.AbstractFormatPatternWriter;

/**
 * A tinylog writer that never blocks the logging thread. Lines pass through a bounded ring buffer to a separate thread,
 * which writes them to standard output in batches. While the ring is full, lines are dropped and counted; the next
 * batch ends with the count. Named {@code ring} in {@code tinylog.properties}.
 */
public final class RingWriter extends AbstractFormatPatternWriter {
    /** The capacity of the ring in lines. */
    public static final int CAPACITY_LINES = 4096;

    private static final long FLUSH_INTERVAL_MILLIS = 50;
    private static final AtomicLong DROPPED = new AtomicLong();
    private static final String LINE_FORMAT = "time={date: HH:mm:ss.SSS} level={level} {message}";

    private final MpscArrayQueue<String> ring = new MpscArrayQueue<>(CAPACITY_LINES);
    private final PrintStream out;
    private final Thread writerThread;
    private volatile boolean closed;
    private long reportedDrops;

    /**
     * Creates a writer; called by tinylog.
     *
     * @param properties the writer's properties in {@code tinylog.properties}; ignored
     */
    public RingWriter(Map<String, String> properties) {
        this(System.out, true);
        requireNonNull(properties, "properties is null");
    }

    RingWriter(PrintStream out, boolean startThread) {
        super(Map.of("format", LINE_FORMAT));
        this.out = requireNonNull(out, "out is null");
        reportedDrops = DROPPED.get();
        writerThread = new Thread(this::run, "log");
        writerThread.setDaemon(true);
        if (startThread) {
            writerThread.start();
        }
    }

    // -- queries

    /**
     * Returns the number of lines dropped by all writers of this process.
     *
     * @return a count since the start of the process, 0 or more
     */
    public static long dropped() {
        return DROPPED.get();
    }

    // -- commands

    @Override
    public void write(LogEntry entry) {
        if (!ring.offer(render(entry))) {
            DROPPED.incrementAndGet();
        }
    }

    /**
     * Writes all lines in the ring, then the number of lines dropped since the last report, if any. Synchronized
     * because the ring supports one consumer at a time.
     */
    @Override
    public synchronized void flush() {
        StringBuilder batch = new StringBuilder();
        for (String line = ring.poll(); line != null; line = ring.poll()) {
            batch.append(line);
        }
        long dropped = DROPPED.get();
        if (dropped > reportedDrops) {
            batch.append("level=WARN event=log_lines_dropped count=")
                    .append(dropped - reportedDrops)
                    .append('\n');
            reportedDrops = dropped;
        }
        if (batch.length() > 0) {
            byte[] bytes = batch.toString().getBytes(StandardCharsets.UTF_8);
            out.write(bytes, 0, bytes.length);
            out.flush();
        }
    }

    @Override
    public void close() {
        closed = true;
        flush();
    }

    private void run() {
        while (!closed) {
            flush();
            try {
                Thread.sleep(FLUSH_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
