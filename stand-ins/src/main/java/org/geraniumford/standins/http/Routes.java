package org.geraniumford.standins.http;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.transport.http.HttpExchange;
import org.geraniumford.transport.http.HttpService;
import org.geraniumford.transport.log.LogEvent;

/** Dispatches each request to the handler of its method and path. */
public final class Routes implements HttpService {
    private final List<Route> routes;

    private Routes(List<Route> routes) {
        this.routes = routes;
    }

    // -- construction

    /**
     * Returns an empty table of routes, which responds to every request with 404.
     *
     * @return no routes
     */
    public static Routes empty() {
        return new Routes(List.of());
    }

    /**
     * Returns a copy with another route. Of the routes that match a request, the first one added handles it.
     *
     * @param method the HTTP method
     * @param path the path; one that ends in a slash matches every longer path with that prefix instead
     * @param handler receives the request and the part of its path after {@code path}
     * @return new routes
     */
    public Routes with(String method, String path, BiConsumer<HttpExchange, String> handler) {
        List<Route> extended = new ArrayList<>(routes);
        extended.add(new Route(method, path, handler));
        return new Routes(List.copyOf(extended));
    }

    // -- requests

    @Override
    public void handle(HttpExchange exchange) {
        List<Route> matching =
                routes.stream().filter(route -> route.matches(exchange.path())).toList();
        if (matching.isEmpty()) {
            Json.respondError(exchange, 404, "unknown_path");
            return;
        }
        matching.stream()
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
     * Runs a handler, and responds with an error if it throws: 400 for an {@link IllegalArgumentException}, else 500.
     *
     * @param exchange the request
     * @param handler the work that handles the request
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
        boolean matches(String requestPath) {
            return path.endsWith("/")
                    ? requestPath.startsWith(path) && requestPath.length() > path.length()
                    : requestPath.equals(path);
        }
    }
}
