package org.geraniumford.benchmarks.capacity;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.geraniumford.core.cache.CacheEvent;
import org.geraniumford.core.cache.CacheIndex;
import org.geraniumford.core.cache.GapPolicy;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.prefix.BlockKey;
import org.geraniumford.core.routing.ConnectedEngine;
import org.geraniumford.core.routing.ConnectedEngines;
import org.geraniumford.core.routing.RouteQuery;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;

/** Creates inputs of a given size for the measurements; the same size gives the same input on every run. */
final class BenchmarkInputs {
    static final int BLOCK_TOKENS = 4000;
    static final String WEIGHTS_DIGEST = "af72250d489ae165bf74a26d181af5117879339ffbb1725e2fb09c82c5cf3441";

    private static final long SEED = 20;
    private static final long INCARNATION = 1_700_000_000_000_000L;
    private static final int MODELS = 9;
    private static final int FAILURE_DOMAINS = 8;

    private BenchmarkInputs() {}

    /** Returns pseudo-random keys; those of a smaller count are the first ones of a larger count. */
    static List<BlockKey> keys(int count) {
        Random random = new Random(SEED);
        return IntStream.range(0, count)
                .mapToObj(i -> new BlockKey(random.nextLong(), random.nextLong()))
                .toList();
    }

    static List<Block> blocks(int count) {
        return keys(count).stream().map(key -> new Block(key, BLOCK_TOKENS)).toList();
    }

    /**
     * Returns a cache index with claims of a number of blocks.
     *
     * @param count the number of blocks
     * @return an index to which one event per block was applied, with sequence numbers from 1 to {@code count}
     */
    static CacheIndex index(int count) {
        CacheIndex index = CacheIndex.of(GapPolicy.VOID_AFFECTED);
        index.observeIncarnation(INCARNATION);
        List<BlockKey> keys = keys(count);
        IntStream.range(0, count).forEach(i -> index.apply(event(i + 1L, CacheEvent.Kind.STORED, keys.get(i))));
        return index;
    }

    static CacheEvent event(long sequence, CacheEvent.Kind kind, BlockKey key) {
        return new CacheEvent(INCARNATION, sequence, kind, List.of(key));
    }

    /** Returns an envelope with a probe for a number of blocks, whose keys are those of {@link #keys}. */
    static Envelope probe(int blockCount) {
        return envelope(new Message.Probe(
                1,
                WEIGHTS_DIGEST,
                keys(blockCount).stream().map(BlockKey::shortDigest).toList()));
    }

    /** Returns an envelope with a chunk of a number of output tokens. */
    static Envelope chunk(int tokens) {
        List<String> texts =
                IntStream.range(0, tokens).mapToObj(i -> "word" + i).toList();
        return envelope(new Message.Chunk(new AttemptId("entry-1-1796333-1001", 1), 100, texts));
    }

    static Envelope envelope(Message message) {
        return new Envelope(INCARNATION, 1000, 850, message);
    }

    /** Returns runners' engines that are up, distributed in turn over eight failure domains and nine models. */
    static List<ConnectedEngine> runners(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new ConnectedEngine(
                        "runner-" + i,
                        "domain-" + i % FAILURE_DOMAINS,
                        "model-" + i % MODELS,
                        WEIGHTS_DIGEST + i % MODELS,
                        1,
                        false,
                        i))
                .toList();
    }

    static ConnectedEngines connectedEngines(int runners) {
        return ConnectedEngines.ofAll(runners(runners));
    }

    /**
     * Returns a query to the first of the runners' models, for a prompt of four levels, which end after 1 block, 4
     * blocks, all blocks but one, and all.
     */
    static RouteQuery query(int blockCount) {
        return new RouteQuery(
                "model-0",
                WEIGHTS_DIGEST + 0,
                "domain-0",
                blocks(blockCount),
                List.of(1, 4, blockCount - 1, blockCount),
                Optional.empty(),
                Set.of(),
                1);
    }

    /**
     * Returns the text of a merged configuration with nine models.
     *
     * @param customers the number of customers
     * @return the text, with line feeds as line ends
     */
    static String configuration(int customers) {
        String modelSections = IntStream.range(0, MODELS)
                .mapToObj(i -> "[model m%d]%nversion = m%d-1%nweights_digest = %s%nmax_tokens = 512%n"
                        .formatted(i, i, WEIGHTS_DIGEST))
                .collect(Collectors.joining());
        String classSection = "[class check]%nrank = 0%nfirst_token_deadline_ms = 2000%n".formatted();
        String customerSections = IntStream.range(0, customers)
                .mapToObj(BenchmarkInputs::customerSection)
                .collect(Collectors.joining());
        return (modelSections + classSection + customerSections).replace("\r", "");
    }

    private static String customerSection(int number) {
        return """
                [customer brand-%d]
                brand = Brand number %d
                key_digests = %064x
                weight = 2
                requests_per_second = 20
                tokens_per_second = 100000
                max_streams = 32
                """.formatted(number, number, number + 1);
    }
}
