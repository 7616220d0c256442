package org.geraniumford.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Entries with a quarantine each and engines, in virtual time. Entries exchange gossip with random delays and losses,
 * and may restart; engines end when they begin a response on the bad segment.
 */
final class ModelDeployment {
    static final long BAD_SEGMENT = 666;
    static final long MILLI = 1_000_000;
    static final long SECOND = 1000 * MILLI;

    private static final int ENGINES = 10;
    private static final int MAX_ATTEMPTS = 2;
    private static final long ENGINE_RESTART_NANOS = 900 * MILLI;
    private static final long MIN_QUEUE_MILLIS = 20;
    private static final long MAX_QUEUE_MILLIS = 300;
    private static final long RESPONSE_NANOS = 200 * MILLI;
    private static final long SEND_NANOS = 5 * MILLI;
    private static final long GOSSIP_DELAY_NANOS = 10 * MILLI;
    private static final Duration GOSSIP_INTERVAL = Duration.ofMillis(250);
    private static final long PEER_TIMEOUT_NANOS = 1500 * MILLI;
    private static final long ENTRY_START_NANOS = SECOND;
    private static final long CONTACT_NANOS = 3 * SECOND;

    private final VirtualClock clock = new VirtualClock();
    private final Random random;
    private final long maxDelayMillis;
    private final double lossFraction;
    private final List<ModelEntry> entries;
    private final List<ModelEngine> engines =
            IntStream.range(0, ENGINES).mapToObj(ModelEngine::new).toList();
    private final ModelRecord record = new ModelRecord();

    ModelDeployment(int entryCount, long maxDelayMillis, double lossFraction, long seed) {
        this.random = new Random(seed);
        this.maxDelayMillis = maxDelayMillis;
        this.lossFraction = lossFraction;
        this.entries = IntStream.range(0, entryCount).mapToObj(ModelEntry::new).toList();
    }

    // -- queries

    ModelRecord record() {
        return record;
    }

    long nowNanos() {
        return clock.nowNanos();
    }

    /** Returns whether any entry holds a segment. */
    boolean isHeldAnywhere(long segment) {
        return entries.stream().anyMatch(entry -> HoldTimes.isHeld(entry.quarantine.count(segment, nowNanos())));
    }

    // -- commands

    void runUntil(Duration end) {
        clock.runUntil(end);
    }

    /** Sends requests with one of the given prompts at random times, to random entries. */
    void sendRequests(double perSecond, List<List<Long>> prompts) {
        double uniform = 1 - random.nextDouble();
        clock.schedule((long) (-Math.log(uniform) / perSecond * SECOND), () -> {
            List<Long> prompt = prompts.get(random.nextInt(prompts.size()));
            ModelEntry entry = entries.get(random.nextInt(entries.size()));
            if (entry.isRunning()) {
                entry.begin(prompt, 1);
            }
            sendRequests(perSecond, prompts);
        });
    }

    void restartAnEntryEvery(Duration interval) {
        clock.scheduleEvery(
                interval, () -> entries.get(random.nextInt(entries.size())).restart());
    }

    /** Ends engines for a reason that lies in no request, within a fifth of a second. */
    void endEngines(Duration at, int count) {
        engines.stream()
                .limit(count)
                .forEach(engine -> clock.schedule(at.toNanos() + random.nextInt(200) * MILLI, engine::end));
    }

    // -- entries

    private final class ModelEntry implements QuarantineListener {
        private final String name;
        private final Map<String, Long> heardNanos = new HashMap<>();
        private final Map<ModelEntry, Long> lastDeliveryNanos = new HashMap<>();
        private SegmentQuarantine quarantine;
        private int life;
        private long startedNanos = -CONTACT_NANOS;
        private boolean gossipScheduled;

        ModelEntry(int index) {
            this.name = "entry-" + index;
            this.quarantine = SegmentQuarantine.empty(name, this);
            clock.schedule(random.nextInt(250) * MILLI, () -> clock.scheduleEvery(GOSSIP_INTERVAL, this::announce));
        }

        boolean isRunning() {
            return clock.nowNanos() >= startedNanos;
        }

        boolean isInTouch() {
            return clock.nowNanos() - startedNanos >= CONTACT_NANOS;
        }

        void restart() {
            life++;
            startedNanos = clock.nowNanos() + ENTRY_START_NANOS;
            heardNanos.clear();
            quarantine = SegmentQuarantine.empty(name, this);
        }

        void begin(List<Long> prompt, int attempt) {
            QuarantineDecision decision = quarantine.decide(prompt, clock.nowNanos());
            boolean held = decision instanceof QuarantineDecision.Held;
            if (attempt == 1 && !prompt.contains(BAD_SEGMENT)) {
                record.addSound(clock.nowNanos(), !held);
            }
            List<ModelEngine> up = engines.stream().filter(ModelEngine::isUp).toList();
            if (held || up.isEmpty()) {
                return;
            }
            ModelEngine engine = decision instanceof QuarantineDecision.Suspected
                    ? up.stream()
                            .min(Comparator.comparingInt(ModelEngine::load))
                            .orElseThrow()
                    : up.get(random.nextInt(up.size()));
            ModelAttempt sent =
                    new ModelAttempt(this, life, prompt, attempt, quarantine.begin(prompt, clock.nowNanos()));
            clock.schedule(SEND_NANOS, () -> engine.receive(sent));
        }

        void announce() {
            gossipScheduled = false;
            if (!isRunning()) {
                return;
            }
            QuarantineGossip gossip = quarantine.gossip(clock.nowNanos());
            entries.stream()
                    .filter(peer -> peer != this && random.nextDouble() >= lossFraction)
                    .forEach(peer -> deliver(peer, gossip));
        }

        private void deliver(ModelEntry peer, QuarantineGossip gossip) {
            long now = clock.nowNanos();
            long delivery = Math.max(
                    lastDeliveryNanos.getOrDefault(peer, now),
                    now + (long) (random.nextDouble() * maxDelayMillis * MILLI));
            lastDeliveryNanos.put(peer, delivery);
            clock.schedule(delivery - now, () -> peer.receive(name, gossip));
        }

        private void receive(String peer, QuarantineGossip gossip) {
            if (!isRunning()) {
                return;
            }
            quarantine.applyGossip(peer, gossip, clock.nowNanos());
            heardNanos.put(peer, clock.nowNanos());
            heardNanos.values().removeIf(heard -> clock.nowNanos() - heard > PEER_TIMEOUT_NANOS);
            quarantine.updatePeers(heardNanos.keySet());
        }

        @Override
        public void changed() {
            if (!gossipScheduled) {
                gossipScheduled = true;
                clock.schedule(GOSSIP_DELAY_NANOS, this::announce);
            }
        }

        @Override
        public void held(long segment, int count, Duration hold) {
            record.addHold(clock.nowNanos(), segment, count);
        }

        @Override
        public void released(long segment) {
            // Read from the quarantines when needed.
        }
    }

    // -- engines

    private final class ModelEngine {
        private final int index;
        private final Set<ModelAttempt> running = new LinkedHashSet<>();
        private long incarnation;
        private long upNanos;

        ModelEngine(int index) {
            this.index = index;
        }

        boolean isUp() {
            return clock.nowNanos() >= upNanos;
        }

        int load() {
            return running.size();
        }

        void receive(ModelAttempt attempt) {
            if (!isUp()) {
                attempt.release();
                return;
            }
            if (attempt.isBad() && attempt.entry().isInTouch()) {
                record.addBadArrival(clock.nowNanos());
            }
            running.add(attempt);
            long queueMillis = MIN_QUEUE_MILLIS + random.nextLong(MAX_QUEUE_MILLIS - MIN_QUEUE_MILLIS);
            clock.schedule(queueMillis * MILLI, () -> start(attempt));
        }

        private void start(ModelAttempt attempt) {
            if (!running.contains(attempt)) {
                return;
            }
            if (attempt.isBad()) {
                record.addBadEnd(clock.nowNanos());
                end();
                return;
            }
            attempt.recordFirstEvent();
            clock.schedule(RESPONSE_NANOS, () -> running.remove(attempt));
        }

        void end() {
            if (!isUp()) {
                return;
            }
            long server = SegmentKeys.server("engine-" + index, incarnation++);
            upNanos = clock.nowNanos() + ENGINE_RESTART_NANOS;
            List<ModelAttempt> broken = new ArrayList<>(running);
            running.clear();
            broken.forEach(attempt -> clock.schedule(SEND_NANOS, () -> attempt.recordEngineEnd(server)));
        }
    }

    private final class ModelAttempt {
        private final ModelEntry entry;
        private final int life;
        private final List<Long> prompt;
        private final int number;
        private final PromptUse use;
        private boolean responseBegan;

        ModelAttempt(ModelEntry entry, int life, List<Long> prompt, int number, PromptUse use) {
            this.entry = entry;
            this.life = life;
            this.prompt = prompt;
            this.number = number;
            this.use = use;
        }

        ModelEntry entry() {
            return entry;
        }

        boolean isBad() {
            return prompt.contains(BAD_SEGMENT);
        }

        private boolean isObserved() {
            return entry.life == life;
        }

        void release() {
            if (isObserved()) {
                entry.quarantine.release(use);
            }
        }

        void recordFirstEvent() {
            responseBegan = true;
            if (isObserved()) {
                entry.quarantine.recordFirstEvent(use, clock.nowNanos());
                release();
            }
        }

        void recordEngineEnd(long server) {
            if (!isObserved() || responseBegan) {
                return;
            }
            entry.quarantine.recordEngineEnd(use, server, clock.nowNanos());
            release();
            if (number < MAX_ATTEMPTS) {
                entry.begin(prompt, number + 1);
            }
        }
    }

    // -- prompts

    /** Returns prompts of sound requests that share the segments 1 to 3 with each other. */
    static List<List<Long>> soundPrompts() {
        return List.of(List.of(1L, 2L), List.of(1L, 3L), List.of(1L, 2L, 3L), List.of(2L, 3L), List.of(1L));
    }

    /** Returns prompts with the bad segment first, in the middle and last of the shared segments. */
    static List<List<Long>> badPrompts() {
        return List.of(List.of(BAD_SEGMENT, 1L, 2L), List.of(1L, BAD_SEGMENT, 3L), List.of(1L, 2L, BAD_SEGMENT));
    }

    /** Returns prompts that share the first segment and hold a second one, each of which few others hold. */
    static List<List<Long>> promptsWithRareSegments(int count) {
        return Stream.iterate(1000L, segment -> segment + 1)
                .limit(count)
                .map(segment -> List.of(1L, segment))
                .toList();
    }
}
