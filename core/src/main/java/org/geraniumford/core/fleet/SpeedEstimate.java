package org.geraniumford.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/**
 * The estimated speed of one incarnation of a server, from the responses that this entry has seen and from what its
 * peers have announced of theirs. An entry sees few responses of one server in a minute, so a regression of the time on
 * the prompt's length has too few samples; the median of all entries' samples has enough. Not thread-safe.
 */
public final class SpeedEstimate {
    /** Fewer measurements of all entries together are not used. */
    static final int MIN_SAMPLES = 5;

    /** A shorter prefill says more about steps and network than about the speed of prefills. */
    private static final long MIN_PREFILL_TOKENS = 300;

    /** A longer queue before a prompt, as a multiple of the prompt, is too uncertain an estimate to measure with. */
    private static final long MAX_QUEUE_FACTOR = 4;

    private static final double MIN_TOKENS_PER_MS = 5;
    private static final double MAX_TOKENS_PER_MS = 500;
    private static final double MIN_MS = 0.5;
    private static final double MAX_STEP_MS = 500;
    private static final double MAX_REQUEST_MS = 60_000;

    /**
     * The part of the time to the first event that is no prefill, in steps: the step in progress when the request
     * arrives, on average half, and the one that yields the first token.
     */
    private static final double STEPS_BESIDE_PREFILL = 1.5;

    /** The longest part of the time to the first event that steps can explain. */
    private static final double MAX_STEPS_FRACTION = 0.5;

    /** A sample over this many tokens has a weight of 1; over fewer, steps and network distort it more. */
    private static final double FULL_WEIGHT_TOKENS = 2048;

    private static final double MAX_WEIGHT = 4;

    /** A change by a larger factor is announced. */
    private static final double ANNOUNCED_FACTOR = 1.1;

    /** An announcement with this many times the samples of the one before is made without a change as well. */
    private static final int ANNOUNCED_SAMPLES_FACTOR = 2;

    private static final double MICROS_PER_MILLI = 1000;
    private static final double THOUSANDTHS = 1000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final SpeedSamples prefills = SpeedSamples.empty();
    private final SpeedSamples steps = SpeedSamples.empty();
    private final SpeedSamples requests = SpeedSamples.empty();
    private final Map<String, Heard> heard = new HashMap<>();
    private SpeedAnnouncement announced;

    private record Heard(SpeedAnnouncement announcement, long nanos) {
        SpeedSamples.Sample sample(double value) {
            double weight = Math.max(0, announcement.weightMillis()) / THOUSANDTHS;
            return new SpeedSamples.Sample(value, Math.min(weight, MAX_WEIGHT * MIN_SAMPLES), nanos);
        }
    }

    private SpeedEstimate() {}

    // -- construction

    /**
     * Creates the estimate of a server of which nothing is known.
     *
     * @return a new estimate
     */
    static SpeedEstimate empty() {
        return new SpeedEstimate();
    }

    // -- queries

    /**
     * Returns the speed of the server.
     *
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return the median of the measurements of all entries; empty if there are fewer than 5
     */
    Optional<ServerSpeed> speed(long nowNanos) {
        OptionalDouble prefill =
                value(prefills, said -> said.prefillTokensPerSecond() / THOUSANDTHS, nowNanos, MIN_TOKENS_PER_MS);
        OptionalDouble step = value(steps, said -> said.stepMicros() / MICROS_PER_MILLI, nowNanos, MIN_MS);
        OptionalDouble request = value(requests, said -> said.requestMicros() / MICROS_PER_MILLI, nowNanos, MIN_MS);
        return prefill.isPresent() || request.isPresent()
                ? Optional.of(new ServerSpeed(
                        Math.min(prefill.orElse(ServerSpeed.UNKNOWN.prefillTokensPerMs()), MAX_TOKENS_PER_MS),
                        step,
                        request))
                : Optional.empty();
    }

    private OptionalDouble value(
            SpeedSamples own, Function<SpeedAnnouncement, Double> announcedValue, long nowNanos, double least) {
        List<SpeedSamples.Sample> samples = new ArrayList<>(own.current(nowNanos));
        int count = samples.size();
        for (Heard other : heard.values()) {
            SpeedSamples.Sample sample = other.sample(announcedValue.apply(other.announcement()));
            if (sample.value() >= least && sample.isCurrent(nowNanos)) {
                samples.add(sample);
                count += Math.max(1, Math.min(other.announcement().samples(), MIN_SAMPLES));
            }
        }
        return count < MIN_SAMPLES ? OptionalDouble.empty() : SpeedSamples.median(samples, nowNanos);
    }

    /**
     * Returns what this entry has measured itself.
     *
     * @param server the server
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return the medians of its measurements; empty if there are none
     */
    Optional<SpeedAnnouncement> announcement(BackendServer server, long nowNanos) {
        SpeedSamples main = prefills.current(nowNanos).isEmpty() ? requests : prefills;
        int count = main.current(nowNanos).size();
        return count == 0
                ? Optional.empty()
                : Optional.of(new SpeedAnnouncement(
                        server.id(),
                        server.incarnation(),
                        Math.round(THOUSANDTHS * own(prefills, nowNanos)),
                        Math.round(MICROS_PER_MILLI * own(steps, nowNanos)),
                        Math.round(MICROS_PER_MILLI * own(requests, nowNanos)),
                        count,
                        (int) Math.round(THOUSANDTHS * main.weight(nowNanos))));
    }

    private static double own(SpeedSamples samples, long nowNanos) {
        return SpeedSamples.median(samples.current(nowNanos), nowNanos).orElse(0);
    }

    /** Returns the announcement if peers that know the last one have to learn it. */
    Optional<SpeedAnnouncement> dueAnnouncement(BackendServer server, long nowNanos) {
        return announcement(server, nowNanos)
                .filter(current -> announced == null
                        || current.samples() >= ANNOUNCED_SAMPLES_FACTOR * announced.samples()
                        || differs(current, SpeedAnnouncement::prefillTokensPerSecond)
                        || differs(current, SpeedAnnouncement::stepMicros)
                        || differs(current, SpeedAnnouncement::requestMicros));
    }

    private boolean differs(SpeedAnnouncement current, ToLongFunction<SpeedAnnouncement> component) {
        long now = component.applyAsLong(current);
        long before = component.applyAsLong(announced);
        return Math.max(now, before) > ANNOUNCED_FACTOR * Math.min(now, before);
    }

    // -- commands

    /**
     * Records the first event of a response.
     *
     * @param tokensBefore the number of tokens that were pending before the prompt when it was sent
     * @param prefillTokens the estimated number of the prompt's own tokens that were prefilled
     * @param nanos the time from sending to the first event, in nanoseconds
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void recordPrefill(long tokensBefore, long prefillTokens, long nanos, long nowNanos) {
        if (prefillTokens < MIN_PREFILL_TOKENS || tokensBefore > MAX_QUEUE_FACTOR * prefillTokens) {
            return;
        }
        double millis = Math.max(MIN_MS, nanos / NANOS_PER_MILLI);
        double stepMillis = STEPS_BESIDE_PREFILL * own(steps, nowNanos);
        double tokens = Math.max(0, tokensBefore) + prefillTokens;
        double speed = tokens / (millis - Math.min(stepMillis, MAX_STEPS_FRACTION * millis));
        prefills.add(
                clamp(speed, MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS),
                Math.min(tokens / FULL_WEIGHT_TOKENS, MAX_WEIGHT),
                nowNanos);
    }

    /**
     * Records the time between two output tokens of a response.
     *
     * @param millis the median time over the response
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void recordStep(double millis, long nowNanos) {
        steps.add(clamp(millis, MIN_MS, MAX_STEP_MS), 1, nowNanos);
    }

    /**
     * Records a response of a plain service, to a request that did not wait for a slot.
     *
     * @param nanos the time from sending to the end of the response, in nanoseconds
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void recordRequest(long nanos, long nowNanos) {
        requests.add(clamp(nanos / NANOS_PER_MILLI, MIN_MS, MAX_REQUEST_MS), 1, nowNanos);
    }

    /** Records what a peer announced. */
    void applyGossip(String peer, SpeedAnnouncement announcement, long nowNanos) {
        heard.put(peer, new Heard(announcement, nowNanos));
    }

    /** Forgets what a peer announced, and what any peer announced too long ago. */
    void forget(String peer) {
        heard.remove(peer);
    }

    /** Records that the peers were told of the announcement that is due. */
    void markAnnounced(SpeedAnnouncement due) {
        announced = due;
    }

    private static double clamp(double value, double least, double most) {
        return Math.max(least, Math.min(value, most));
    }
}
