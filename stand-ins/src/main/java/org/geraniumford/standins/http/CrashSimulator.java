package org.geraniumford.standins.http;

import java.util.function.BooleanSupplier;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.transport.http.HttpExchange;
import org.geraniumford.transport.http.HttpService;

/**
 * Simulates a crashed process: aborts every connection on which a readable request arrives during the crash.
 *
 * @param delegate the service that handles the requests at other times
 * @param down returns true during the crash
 */
public record CrashSimulator(HttpService delegate, BooleanSupplier down) implements HttpService {
    @Override
    public void handle(HttpExchange exchange) {
        if (down.getAsBoolean()) {
            exchange.abort();
        } else {
            delegate.handle(exchange);
        }
    }

    @Override
    public void requestUnreadable(HttpExchange exchange, Reason reason) {
        delegate.requestUnreadable(exchange, reason);
    }
}
