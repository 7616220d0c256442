package org.geraniumford.benchmarks.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Supplier;

/** Measures the processor time of the current thread and the live heap of this process. */
final class ResourceMeter {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();
    private static final int MEASURED_ROUNDS = 9;
    private static final int GC_RUNS = 3;
    private static final double NANOS_PER_MICRO = 1000;

    private ResourceMeter() {}

    /**
     * Returns the processor time of one call.
     *
     * @param calls the number of calls in each round
     * @param work the code to call
     * @return the median over nine measured rounds of the mean time of a call, in microseconds; two warm-up rounds run
     *     first
     */
    static double cpuMicrosPerCall(int calls, Runnable work) {
        runRepeatedly(calls, work);
        runRepeatedly(calls, work);
        List<Double> rounds = new ArrayList<>();
        for (int round = 0; round < MEASURED_ROUNDS; round++) {
            long startNanos = THREADS.getCurrentThreadCpuTime();
            runRepeatedly(calls, work);
            rounds.add((THREADS.getCurrentThreadCpuTime() - startNanos) / NANOS_PER_MICRO / calls);
        }
        Collections.sort(rounds);
        return rounds.get(MEASURED_ROUNDS / 2);
    }

    /**
     * Returns the live heap that an object occupies.
     *
     * @param creator creates the object
     * @return the growth of the live heap in bytes
     */
    static double heapBytesOf(Supplier<Object> creator) {
        long bytesBefore = liveHeapBytes();
        Object created = creator.get();
        try {
            return liveHeapBytes() - bytesBefore;
        } finally {
            Reference.reachabilityFence(created);
        }
    }

    /** Returns the heap in use after several garbage collections, in bytes. */
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
