package org.geraniumford.standins.http;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.transport.http.HttpExchange;
import org.geraniumford.transport.http.HttpService;
import org.geraniumford.transport.log.LogEvent;

/** Passes each request to the handler of its method and path. */
public final class Routes implements HttpService {
    private final List<Route> routes;

    private Routes(List<Route> routes) {
        this.routes = routes;
    }

    // -- construction

    /**
     * Creates routes that answer every request with 404.
     *
     * @return no routes
     */
    public static Routes empty() {
        return new Routes(List.of());
    }

    /**
     * Adds a route. The first one that fits is taken.
     *
     * @param method the HTTP method
     * @param path the path; one that ends in a slash fits every longer path too
     * @param handler gets the request and the rest of the path
     * @return new routes
     */
    public Routes with(String method, String path, BiConsumer<HttpExchange, String> handler) {
        List<Route> longer = new ArrayList<>(routes);
        longer.add(new Route(method, path, handler));
        return new Routes(List.copyOf(longer));
    }

    // -- requests

    @Override
    public void handle(HttpExchange exchange) {
        List<Route> onPath =
                routes.stream().filter(route -> route.matches(exchange.path())).toList();
        if (onPath.isEmpty()) {
            Json.respondError(exchange, 404, "unknown_path");
            return;
        }
        onPath.stream()
                .filter(route -> route.method.equals(exchange.method()))
                .findFirst()
                .ifPresentOrElse(
                        route -> runGuarded(
                                exchange,
                                () -> route.handler.accept(
                                        exchange, exchange.path().substring(route.path.length()))),
                        () -> Json.respondError(exchange, 405, "method_not_allowed"));
    }

    @Override
    public void requestUnreadable(HttpExchange exchange, Reason reason) {
        Json.respondError(exchange, reason.status(), reason.label());
    }

    /**
     * Runs a handler, and answers with an error if it fails.
     *
     * @param exchange the request
     * @param handler handles it; an {@link IllegalArgumentException} is the caller's fault
     */
    public static void runGuarded(HttpExchange exchange, Runnable handler) {
        try {
            handler.run();
        } catch (IllegalArgumentException e) {
            Json.respondError(exchange, 400, String.valueOf(e.getMessage()));
        } catch (RuntimeException e) {
            LogEvent.of("request_failed").with("path", exchange.path()).error(e);
            Json.respondError(exchange, 500, "internal");
        }
    }

    private record Route(String method, String path, BiConsumer<HttpExchange, String> handler) {
        boolean matches(String target) {
            return path.endsWith("/")
                    ? target.startsWith(path) && target.length() > path.length()
                    : target.equals(path);
        }
    }
}
