package org.geraniumford.standins.engine;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.prefix.BlockKey;
import org.geraniumford.standins.http.Json;
import org.geraniumford.transport.http.HttpExchange;

/** Publishes the changes of the prefix cache after a delay, and loses a fraction of them. */
final class CacheEventPublisher implements CacheListener {
    private static final int MAX_RETAINED_EVENTS = 10_000;

    private final EventLoop loop;
    private final Random random;
    private final Deque<CacheEvent> retainedEvents = new ArrayDeque<>();
    private final List<HttpExchange> subscribers = new ArrayList<>();
    private long incarnation;
    private long sequence;
    private double lossFraction;
    private long delayMicros;

    CacheEventPublisher(EventLoop loop, EngineOptions options, long incarnation) {
        this.loop = loop;
        this.random = new Random(options.seed());
        this.lossFraction = options.eventLoss();
        this.delayMicros = Math.round(options.timing().eventDelayMicros());
        this.incarnation = incarnation;
    }

    // -- commands

    @Override
    public void stored(List<BlockKey> keys) {
        publish("stored", keys);
    }

    @Override
    public void evicted(List<BlockKey> keys) {
        publish("evicted", keys);
    }

    /** Sends the retained events after a sequence number, then every later event. */
    void subscribe(HttpExchange exchange, long after) {
        exchange.startEvents(Map.of());
        retainedEvents.stream().filter(event -> event.sequence() > after).forEach(event -> send(exchange, event));
        subscribers.add(exchange);
        exchange.onClosed(() -> subscribers.remove(exchange));
    }

    /** Discards the events, restarts the sequence and disconnects the subscribers, as a crash does. */
    void restart(long newIncarnation) {
        incarnation = newIncarnation;
        sequence = 0;
        retainedEvents.clear();
        List.copyOf(subscribers).forEach(HttpExchange::abort);
        subscribers.clear();
    }

    void setLossFraction(double fraction) {
        lossFraction = fraction;
    }

    void setDelayMicros(long micros) {
        delayMicros = micros;
    }

    // -- queries

    /** Returns the sequence number of the latest event, which may be lost or not sent yet; 0 if there is none. */
    long sequence() {
        return sequence;
    }

    private void publish(String kind, List<BlockKey> keys) {
        // A lost event uses up its sequence number, so that subscribers can detect the gap.
        sequence++;
        if (random.nextDouble() < lossFraction) {
            return;
        }
        CacheEvent event = new CacheEvent(
                sequence, incarnation, kind, keys.stream().map(BlockKey::toHex).toList());
        loop.schedule(() -> deliver(event), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void deliver(CacheEvent event) {
        // The engine has crashed since the event was scheduled.
        if (event.incarnation() != incarnation) {
            return;
        }
        retainedEvents.add(event);
        if (retainedEvents.size() > MAX_RETAINED_EVENTS) {
            retainedEvents.poll();
        }
        subscribers.forEach(subscriber -> send(subscriber, event));
    }

    private static void send(HttpExchange exchange, CacheEvent event) {
        exchange.sendEvent(Json.write(event));
    }
}
