package org.geraniumford.standins.http;

import java.util.function.BooleanSupplier;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.transport.http.HttpExchange;
import org.geraniumford.transport.http.HttpService;

/**
 * Cuts every connection on which a request arrives while the process is to seem dead.
 *
 * @param delegate answers the requests at other times
 * @param down whether the process seems dead
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
