package org.geraniumford.benchmarks.capacity;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.geraniumford.core.cache.CacheEvent;
import org.geraniumford.core.cache.CacheIndex;
import org.geraniumford.core.configuration.ConfigurationParser;
import org.geraniumford.core.prefix.BlockKey;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.prefix.PrefixChain;
import org.geraniumford.core.routing.ConnectedEngines;
import org.geraniumford.core.routing.RouteQuery;
import org.geraniumford.core.routing.RoutingCosts;
import org.geraniumford.core.routing.RoutingPolicy;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.transport.link.BrokenFrameException;
import org.geraniumford.transport.link.FrameCodec;

/**
 * Measures quantities for {@code docs/CAPACITY.md} at several sizes each, and prints the values and the fitted lines as
 * a Markdown table.
 */
public final class Capacity {
    private static final int PROMPT_BLOCKS = 64;

    /** Receives results, so that the JIT compiler does not eliminate their computation. */
    private static volatile Object sink;

    private Capacity() {}

    /**
     * Runs all measurements and prints one table row for each.
     *
     * @param arguments not used
     */
    public static void main(String[] arguments) {
        PrintStream out = System.out;
        out.println(ScalingMeasurement.markdownHeader());
        measurements().map(Supplier::get).map(ScalingMeasurement::markdownRow).forEach(out::println);
        out.flush();
    }

    private static Stream<Supplier<ScalingMeasurement>> measurements() {
        return Stream.of(
                () -> ScalingMeasurement.measure("key chain", "piece", "us", Capacity::chainMicros, 16, 64, 256),
                () -> ScalingMeasurement.measure("candidates", "runner", "us", Capacity::candidateMicros, 60, 200, 600),
                () -> ScalingMeasurement.measure(
                        "fleet rebuild", "runner", "us", Capacity::connectedEnginesRebuildMicros, 60, 200, 600),
                () -> ScalingMeasurement.measure(
                        "index heap", "piece", "bytes", Capacity::indexBytes, 12_000, 24_000, 47_000, 94_000),
                () -> ScalingMeasurement.measure(
                        "event apply", "piece held", "us", Capacity::eventMicros, 12_000, 47_000, 94_000),
                () -> ScalingMeasurement.measure(
                        "probe lookup", "piece asked", "us", Capacity::lookupMicros, 16, 64, 256),
                () -> ScalingMeasurement.measure(
                        "probe frame", "piece", "bytes", size -> frameBytes(BenchmarkInputs.probe(size)), 16, 64, 256),
                () -> ScalingMeasurement.measure(
                        "probe codec", "piece", "us", size -> codecMicros(BenchmarkInputs.probe(size)), 16, 64, 256),
                () -> ScalingMeasurement.measure(
                        "chunk frame", "token", "bytes", size -> frameBytes(BenchmarkInputs.chunk(size)), 1, 4, 16),
                () -> ScalingMeasurement.measure(
                        "chunk codec", "token", "us", size -> codecMicros(BenchmarkInputs.chunk(size)), 1, 4, 16),
                () -> ScalingMeasurement.measure(
                        "link heap", "link", "bytes", LinkMeasurements::heapBytesOfOneEnd, 50, 100, 200, 400),
                () -> ScalingMeasurement.measure(
                        "link messages, both ends",
                        "message",
                        "us",
                        LinkMeasurements::cpuMicrosForMessages,
                        20_000,
                        40_000,
                        80_000),
                () -> ScalingMeasurement.measure(
                        "configuration text",
                        "customer",
                        "bytes",
                        size -> BenchmarkInputs.configuration(size).length(),
                        750,
                        2500,
                        7500),
                () -> ScalingMeasurement.measure(
                        "configuration parse", "customer", "us", Capacity::parseMicros, 750, 2500, 7500),
                () -> ScalingMeasurement.measure(
                        "configuration heap", "customer", "bytes", Capacity::configurationBytes, 750, 2500, 7500));
    }

    // -- entries

    /** Returns the processor time to compute the keys of a prompt with a number of blocks, in microseconds. */
    private static double chainMicros(int blocks) {
        CacheScope scope = new CacheScope("amahoro", BenchmarkInputs.WEIGHTS_DIGEST, "");
        List<String> levels = List.of("x".repeat(blocks * BenchmarkInputs.BLOCK_TOKENS * PrefixChain.BYTES_PER_TOKEN));
        return ResourceMeter.cpuMicrosPerCall(
                30, () -> sink = PrefixChain.of(scope, levels, BenchmarkInputs.BLOCK_TOKENS));
    }

    /** Returns the processor time to find the candidates of one attempt with the probe policy, in microseconds. */
    private static double candidateMicros(int runners) {
        ConnectedEngines engines = BenchmarkInputs.connectedEngines(runners);
        RouteQuery query = BenchmarkInputs.query(PROMPT_BLOCKS);
        RoutingCosts costs = RoutingCosts.ofDefaults();
        return ResourceMeter.cpuMicrosPerCall(
                2000,
                () -> sink = RoutingPolicy.PROBE.candidates(
                        query, engines.serving(query.modelVersion(), query.weightsDigest()), costs));
    }

    private static double connectedEnginesRebuildMicros(int runners) {
        var engines = BenchmarkInputs.runners(runners);
        return ResourceMeter.cpuMicrosPerCall(200, () -> sink = ConnectedEngines.ofAll(engines));
    }

    // -- sidecars

    /** Returns the live heap of a cache index with claims of a number of blocks, in bytes. */
    private static double indexBytes(int blocks) {
        return ResourceMeter.heapBytesOf(() -> BenchmarkInputs.index(blocks));
    }

    /**
     * Returns the mean processor time to apply an event to a cache index, in microseconds. Each new block is stored and
     * evicted at once, so that the index keeps claims of the same number of blocks.
     */
    private static double eventMicros(int blocks) {
        CacheIndex index = BenchmarkInputs.index(blocks);
        List<BlockKey> newKeys = BenchmarkInputs.keys(blocks + 1000).subList(blocks, blocks + 1000);
        AtomicLong sequence = new AtomicLong(blocks);
        Runnable storeAndEvict = () -> newKeys.forEach(key -> {
            index.apply(BenchmarkInputs.event(sequence.incrementAndGet(), CacheEvent.Kind.STORED, key));
            index.apply(BenchmarkInputs.event(sequence.incrementAndGet(), CacheEvent.Kind.EVICTED, key));
        });
        return ResourceMeter.cpuMicrosPerCall(10, storeAndEvict) / (2 * newKeys.size());
    }

    /** Returns the processor time to look up the blocks of a probe, all of which the index claims, in microseconds. */
    private static double lookupMicros(int blocks) {
        CacheIndex index = BenchmarkInputs.index(47_000);
        List<Long> shortDigests =
                BenchmarkInputs.keys(blocks).stream().map(BlockKey::shortDigest).toList();
        return ResourceMeter.cpuMicrosPerCall(2000, () -> sink = index.matchedBlocks(shortDigests));
    }

    // -- links

    /** Returns the length of an envelope's frame with its length field, in bytes. */
    private static double frameBytes(Envelope envelope) {
        return encode(envelope).length + (double) Integer.BYTES;
    }

    /** Returns the processor time to encode and decode an envelope, in microseconds. */
    private static double codecMicros(Envelope envelope) {
        return ResourceMeter.cpuMicrosPerCall(5000, () -> sink = decode(encode(envelope)));
    }

    private static byte[] encode(Envelope envelope) {
        try {
            return FrameCodec.encode(envelope);
        } catch (BrokenFrameException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Envelope decode(byte[] frame) {
        try {
            return FrameCodec.decode(frame);
        } catch (BrokenFrameException e) {
            throw new IllegalStateException(e);
        }
    }

    // -- configuration

    private static double parseMicros(int customers) {
        String text = BenchmarkInputs.configuration(customers);
        return ResourceMeter.cpuMicrosPerCall(3, () -> sink = ConfigurationParser.parse(1, text));
    }

    /** Returns the live heap of a parsed configuration with its text, in bytes. */
    private static double configurationBytes(int customers) {
        return ResourceMeter.heapBytesOf(() -> ConfigurationParser.parse(1, BenchmarkInputs.configuration(customers)));
    }
}
