package org.geraniumford.daemon.operator;

import java.util.Arrays;
import java.util.Optional;

/** The routes of the operator port. */
enum OperatorRoute {
    HEALTH("GET", "/health"),
    READY("GET", "/ready"),
    METRICS("GET", "/metrics"),
    STATUS("GET", "/status"),
    EXPLAIN("GET", "/explain/") {
        @Override
        boolean matches(String requestPath) {
            return requestPath.startsWith(path()) && requestPath.length() > path().length();
        }
    },
    DRAIN("POST", "/drain");

    private final String method;
    private final String path;

    OperatorRoute(String method, String path) {
        this.method = method;
        this.path = path;
    }

    static Optional<OperatorRoute> of(String requestPath) {
        return Arrays.stream(values())
                .filter(route -> route.matches(requestPath))
                .findFirst();
    }

    String method() {
        return method;
    }

    String path() {
        return path;
    }

    boolean matches(String requestPath) {
        return requestPath.equals(path);
    }
}
