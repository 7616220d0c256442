package org.geraniumford.daemon.operator;

import java.util.Arrays;
import java.util.Optional;

/** What operators can ask for. */
enum OperatorRoute {
    HEALTH("GET", "/health"),
    READY("GET", "/ready"),
    METRICS("GET", "/metrics"),
    STATUS("GET", "/status"),
    EXPLAIN("GET", "/explain/") {
        @Override
        boolean matches(String path) {
            return path.startsWith(path()) && path.length() > path().length();
        }
    },
    DRAIN("POST", "/drain");

    private final String method;
    private final String path;

    OperatorRoute(String method, String path) {
        this.method = method;
        this.path = path;
    }

    static Optional<OperatorRoute> of(String path) {
        return Arrays.stream(values()).filter(route -> route.matches(path)).findFirst();
    }

    String method() {
        return method;
    }

    String path() {
        return path;
    }

    boolean matches(String requested) {
        return requested.equals(path);
    }
}
