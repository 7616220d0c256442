package org.geraniumford.benchmarks.capacity;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.geraniumford.core.cache.CacheEvent;
import org.geraniumford.core.cache.CacheIndex;
import org.geraniumford.core.configuration.ConfigurationParser;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.prefix.PieceKey;
import org.geraniumford.core.prefix.PrefixChain;
import org.geraniumford.core.routing.CostModel;
import org.geraniumford.core.routing.Fleet;
import org.geraniumford.core.routing.RouteQuery;
import org.geraniumford.core.routing.RoutingPolicy;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.transport.link.BrokenFrameException;
import org.geraniumford.transport.link.FrameCodec;

/** Measures every slope of the capacity page and prints them as a Markdown table. */
public final class Capacity {
    private static final int PIECES = 64;
    private static volatile Object sink;

    private Capacity() {}

    /**
     * Measures and prints.
     *
     * @param arguments not used
     */
    public static void main(String[] arguments) {
        PrintStream out = System.out;
        out.println(Slope.heading());
        slopes().map(Supplier::get).map(Slope::row).forEach(out::println);
        out.flush();
    }

    private static Stream<Supplier<Slope>> slopes() {
        return Stream.of(
                () -> Slope.measure("key chain", "piece", "us", Capacity::chainMicros, 16, 64, 256),
                () -> Slope.measure("candidates", "runner", "us", Capacity::candidateMicros, 60, 200, 600),
                () -> Slope.measure("fleet rebuild", "runner", "us", Capacity::fleetMicros, 60, 200, 600),
                () -> Slope.measure(
                        "index heap", "piece", "bytes", Capacity::indexBytes, 12_000, 24_000, 47_000, 94_000),
                () -> Slope.measure("event apply", "piece held", "us", Capacity::eventMicros, 12_000, 47_000, 94_000),
                () -> Slope.measure("probe lookup", "piece asked", "us", Capacity::lookupMicros, 16, 64, 256),
                () -> Slope.measure("probe frame", "piece", "bytes", size -> bytes(Samples.probe(size)), 16, 64, 256),
                () -> Slope.measure(
                        "probe codec", "piece", "us", size -> codecMicros(Samples.probe(size)), 16, 64, 256),
                () -> Slope.measure("chunk frame", "token", "bytes", size -> bytes(Samples.chunk(size)), 1, 4, 16),
                () -> Slope.measure("chunk codec", "token", "us", size -> codecMicros(Samples.chunk(size)), 1, 4, 16),
                () -> Slope.measure("link heap", "link", "bytes", LinkSamples::heapOfOneEnd, 50, 100, 200, 400),
                () -> Slope.measure(
                        "link messages, both ends",
                        "message",
                        "us",
                        LinkSamples::messageMicros,
                        20_000,
                        40_000,
                        80_000),
                () -> Slope.measure(
                        "configuration text",
                        "customer",
                        "bytes",
                        size -> Samples.configuration(size).length(),
                        750,
                        2500,
                        7500),
                () -> Slope.measure("configuration parse", "customer", "us", Capacity::parseMicros, 750, 2500, 7500),
                () -> Slope.measure(
                        "configuration heap", "customer", "bytes", Capacity::configurationBytes, 750, 2500, 7500));
    }

    // -- entries

    private static double chainMicros(int pieces) {
        CacheScope scope = new CacheScope("amahoro", Samples.WEIGHTS, "");
        List<String> levels = List.of("x".repeat(pieces * Samples.PIECE_TOKENS * PrefixChain.BYTES_PER_TOKEN));
        return Meter.microsPerCall(30, () -> sink = PrefixChain.of(scope, levels, Samples.PIECE_TOKENS));
    }

    private static double candidateMicros(int runners) {
        Fleet fleet = Samples.fleet(runners);
        RouteQuery query = Samples.query(PIECES);
        CostModel costs = CostModel.standard();
        return Meter.microsPerCall(
                2000,
                () -> sink = RoutingPolicy.PROBE.candidates(
                        query, fleet.serving(query.modelVersion(), query.weightsDigest()), costs));
    }

    private static double fleetMicros(int runners) {
        var backends = Samples.runners(runners);
        return Meter.microsPerCall(200, () -> sink = Fleet.ofAll(backends));
    }

    // -- sidecars

    private static double indexBytes(int pieces) {
        return Meter.bytesOf(() -> Samples.index(pieces));
    }

    private static double eventMicros(int pieces) {
        CacheIndex index = Samples.index(pieces);
        List<PieceKey> fresh = Samples.keys(pieces + 1000).subList(pieces, pieces + 1000);
        AtomicLong sequence = new AtomicLong(pieces);
        Runnable storeAndEvict = () -> fresh.forEach(key -> {
            index.apply(Samples.event(sequence.incrementAndGet(), CacheEvent.Kind.STORED, key));
            index.apply(Samples.event(sequence.incrementAndGet(), CacheEvent.Kind.EVICTED, key));
        });
        return Meter.microsPerCall(10, storeAndEvict) / (2 * fresh.size());
    }

    private static double lookupMicros(int pieces) {
        CacheIndex index = Samples.index(47_000);
        List<Long> asked =
                Samples.keys(pieces).stream().map(PieceKey::shortDigest).toList();
        return Meter.microsPerCall(2000, () -> sink = index.matched(asked));
    }

    // -- links

    private static double bytes(Envelope envelope) {
        return encode(envelope).length + (double) Integer.BYTES;
    }

    private static double codecMicros(Envelope envelope) {
        return Meter.microsPerCall(5000, () -> sink = decode(encode(envelope)));
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
        String text = Samples.configuration(customers);
        return Meter.microsPerCall(3, () -> sink = ConfigurationParser.parse(1, text));
    }

    private static double configurationBytes(int customers) {
        return Meter.bytesOf(() -> ConfigurationParser.parse(1, Samples.configuration(customers)));
    }
}
