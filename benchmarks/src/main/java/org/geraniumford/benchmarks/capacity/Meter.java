package org.geraniumford.benchmarks.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Supplier;

/** Reads the processor time of this thread and the live heap. */
final class Meter {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();
    private static final int ROUNDS = 9;
    private static final int COLLECTIONS = 3;
    private static final double NANOS_PER_MICRO = 1000;

    private Meter() {}

    /** Returns the median processor time of one call, in microseconds, over rounds after a warm-up. */
    static double microsPerCall(int calls, Runnable work) {
        repeat(calls, work);
        repeat(calls, work);
        List<Double> rounds = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            long before = THREADS.getCurrentThreadCpuTime();
            repeat(calls, work);
            rounds.add((THREADS.getCurrentThreadCpuTime() - before) / NANOS_PER_MICRO / calls);
        }
        Collections.sort(rounds);
        return rounds.get(ROUNDS / 2);
    }

    /** Returns how many bytes of live heap the created object holds. */
    static double bytesOf(Supplier<Object> creator) {
        long before = liveBytes();
        Object held = creator.get();
        try {
            return liveBytes() - before;
        } finally {
            Reference.reachabilityFence(held);
        }
    }

    /** Returns the heap in use after collections. */
    static long liveBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            MEMORY.gc();
        }
        return MEMORY.getHeapMemoryUsage().getUsed();
    }

    private static void repeat(int calls, Runnable work) {
        for (int call = 0; call < calls; call++) {
            work.run();
        }
    }
}
