package org.geraniumford.standins.engine;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.prefix.PieceKey;
import org.geraniumford.standins.http.Json;
import org.geraniumford.transport.http.HttpExchange;

/** Publishes the changes of the cache, late and with gaps. */
final class CacheEventLog implements CacheListener {
    private static final int REMEMBERED_EVENTS = 10_000;

    private final EventLoop loop;
    private final Random random;
    private final Deque<CacheEvent> recent = new ArrayDeque<>();
    private final List<HttpExchange> subscribers = new ArrayList<>();
    private long incarnation;
    private long sequence;
    private double loss;
    private long delayMicros;

    CacheEventLog(EventLoop loop, EngineOptions options, long incarnation) {
        this.loop = loop;
        this.random = new Random(options.seed());
        this.loss = options.eventLoss();
        this.delayMicros = Math.round(options.timing().eventDelay());
        this.incarnation = incarnation;
    }

    // -- commands

    @Override
    public void stored(List<PieceKey> keys) {
        publish("stored", keys);
    }

    @Override
    public void evicted(List<PieceKey> keys) {
        publish("evicted", keys);
    }

    /** Sends the events after a sequence, and all later ones. */
    void subscribe(HttpExchange exchange, long after) {
        exchange.startEvents(Map.of());
        recent.stream().filter(event -> event.sequence() > after).forEach(event -> send(exchange, event));
        subscribers.add(exchange);
        exchange.onClosed(() -> subscribers.remove(exchange));
    }

    /** Starts anew after a crash. */
    void restart(long newIncarnation) {
        incarnation = newIncarnation;
        sequence = 0;
        recent.clear();
        List.copyOf(subscribers).forEach(HttpExchange::abort);
        subscribers.clear();
    }

    void loss(double fraction) {
        loss = fraction;
    }

    void delay(long micros) {
        delayMicros = micros;
    }

    // -- queries

    long sequence() {
        return sequence;
    }

    private void publish(String kind, List<PieceKey> keys) {
        sequence++;
        if (random.nextDouble() < loss) {
            return;
        }
        CacheEvent event = new CacheEvent(
                sequence, incarnation, kind, keys.stream().map(PieceKey::toHex).toList());
        loop.schedule(() -> deliver(event), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void deliver(CacheEvent event) {
        if (event.incarnation() != incarnation) {
            return;
        }
        recent.add(event);
        if (recent.size() > REMEMBERED_EVENTS) {
            recent.poll();
        }
        subscribers.forEach(subscriber -> send(subscriber, event));
    }

    private static void send(HttpExchange exchange, CacheEvent event) {
        exchange.sendEvent(Json.write(event));
    }
}
