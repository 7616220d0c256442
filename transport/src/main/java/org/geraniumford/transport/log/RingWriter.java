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
 * A tinylog writer that never blocks the thread that logs. Lines go through a bounded ring to a thread of their own,
 * which writes them to standard output in batches; when the ring is full, lines are dropped and counted, and the count
 * is written once there is room. Named {@code ring} in {@code tinylog.properties}.
 */
public final class RingWriter extends AbstractFormatPatternWriter {
    /** The lines that the ring holds. */
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
     * @param properties not used
     */
    public RingWriter(Map<String, String> properties) {
        this(System.out, true);
        requireNonNull(properties, "properties is null");
    }

    RingWriter(PrintStream out, boolean draining) {
        super(Map.of("format", LINE_FORMAT));
        this.out = requireNonNull(out, "out is null");
        reportedDrops = DROPPED.get();
        writerThread = new Thread(this::run, "log");
        writerThread.setDaemon(true);
        if (draining) {
            writerThread.start();
        }
    }

    // -- queries

    /**
     * Returns how many lines were dropped.
     *
     * @return a count since the start of the process
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

    /** Writes every line that the ring holds. */
    @Override
    public synchronized void flush() {
        StringBuilder batch = new StringBuilder();
        for (String line = ring.poll(); line != null; line = ring.poll()) {
            batch.append(line);
        }
        long lost = DROPPED.get();
        if (lost > reportedDrops) {
            batch.append("level=WARN event=log_lines_dropped count=")
                    .append(lost - reportedDrops)
                    .append('\n');
            reportedDrops = lost;
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
