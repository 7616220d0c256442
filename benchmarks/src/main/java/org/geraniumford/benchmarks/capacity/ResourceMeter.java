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
final class ResourceMeter {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();
    private static final int MEASURED_ROUNDS = 9;
    private static final int GC_RUNS = 3;
    private static final double NANOS_PER_MICRO = 1000;

    private ResourceMeter() {}

    /** Returns the median processor time of one call, in microseconds, over rounds after a warm-up. */
    static double cpuMicrosPerCall(int calls, Runnable work) {
        runRepeatedly(calls, work);
        runRepeatedly(calls, work);
        List<Double> rounds = new ArrayList<>();
        for (int round = 0; round < MEASURED_ROUNDS; round++) {
            long before = THREADS.getCurrentThreadCpuTime();
            runRepeatedly(calls, work);
            rounds.add((THREADS.getCurrentThreadCpuTime() - before) / NANOS_PER_MICRO / calls);
        }
        Collections.sort(rounds);
        return rounds.get(MEASURED_ROUNDS / 2);
    }

    /** Returns how many bytes of live heap the created object holds. */
    static double heapBytesOf(Supplier<Object> creator) {
        long before = liveHeapBytes();
        Object held = creator.get();
        try {
            return liveHeapBytes() - before;
        } finally {
            Reference.reachabilityFence(held);
        }
    }

    /** Returns the heap in use after collections. */
    static long liveHeapBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            MEMORY.gc();
        }
        return MEMORY.getHeapMemoryUsage().getUsed();
    }

    private static void runRepeatedly(int calls, Runnable work) {
        for (int call = 0; call < calls; call++) {
            work.run();
        }
    }
}
