package org.geraniumford.core.fleet;

import java.util.Locale;
import java.util.stream.Stream;

/**
 * Whether a backend server may be sent a request now, and what forbids it. Every send of a request asks here: the first
 * attempt, a retry, a resumption, the choice of a backup and the resumption at it.
 */
public enum SendDecision {
    /** The server is no longer listed, or only under another incarnation. */
    UNLISTED(true) {
        @Override
        boolean applies(ServerDirectory directory, ServerState state, ServerQuery query, long nowNanos) {
            return directory
                    .find(state.server().id())
                    .filter(listed -> listed == state)
                    .isEmpty();
        }
    },
    /** The server takes no new work. */
    LEAVING(true) {
        @Override
        boolean applies(ServerDirectory directory, ServerState state, ServerQuery query, long nowNanos) {
            return state.server().leaving();
        }
    },
    /** The request has or had an attempt at the server. */
    ATTEMPTED(true) {
        @Override
        boolean applies(ServerDirectory directory, ServerState state, ServerQuery query, long nowNanos) {
            return query.excluded().contains(state.server().id());
        }
    },
    /** Another version of the servers' software has begun the stream. */
    OTHER_SOFTWARE(true) {
        @Override
        boolean applies(ServerDirectory directory, ServerState state, ServerQuery query, long nowNanos) {
            return query.softwareVersion()
                    .filter(version -> !version.equals(state.server().softwareVersion()))
                    .isPresent();
        }
    },
    /** The server's weights are unknown or older than the request allows. */
    WRONG_WEIGHTS(true) {
        @Override
        boolean applies(ServerDirectory directory, ServerState state, ServerQuery query, long nowNanos) {
            return query.prompt()
                    .filter(scoped ->
                            state.weightsVersion(scoped.prompt().model()).orElse(0) < query.minWeightsVersion())
                    .isPresent();
        }
    },
    /** The server asked for a pause that lasts, or after which others have just returned. */
    PAUSED(true) {
        @Override
        boolean applies(ServerDirectory directory, ServerState state, ServerQuery query, long nowNanos) {
            return state.pause().isPaused(nowNanos);
        }
    },
    /** The server has reached the limit that it names, or the next place there is another customer's. */
    LIMIT_REACHED(true) {
        @Override
        boolean applies(ServerDirectory directory, ServerState state, ServerQuery query, long nowNanos) {
            return !state.limit().hasRoom(directory.entryShare(), query.yielding(), nowNanos);
        }
    },
    /** The server is assumed to be loading weights. */
    LOADING(false) {
        @Override
        boolean applies(ServerDirectory directory, ServerState state, ServerQuery query, long nowNanos) {
            return state.isLoading(nowNanos);
        }
    },
    /** The server rejected a request as meant for another, could not be reached or was silent a short time ago. */
    SUSPENDED(false) {
        @Override
        boolean applies(ServerDirectory directory, ServerState state, ServerQuery query, long nowNanos) {
            return state.reachability().isSuspended(nowNanos);
        }
    },
    /** The server rejected a request that was at least as urgent a short time ago, because it was full. */
    FULL(false) {
        @Override
        boolean applies(ServerDirectory directory, ServerState state, ServerQuery query, long nowNanos) {
            return state.rejection().isFull(query.priority(), nowNanos);
        }
    },
    /** Nothing forbids it. */
    SEND(false) {
        @Override
        boolean applies(ServerDirectory directory, ServerState state, ServerQuery query, long nowNanos) {
            return true;
        }
    };

    private final boolean firm;

    SendDecision(boolean firm) {
        this.firm = firm;
    }

    // -- construction

    /**
     * Decides about one server and one request.
     *
     * @param directory the known servers
     * @param state the server, which may have left the directory
     * @param query the request's requirements
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return the first of these constants that applies, in the order in which they are declared
     */
    public static SendDecision of(ServerDirectory directory, ServerState state, ServerQuery query, long nowNanos) {
        return Stream.of(values())
                .filter(decision -> decision.applies(directory, state, query, nowNanos))
                .findFirst()
                .orElse(SEND);
    }

    // -- queries

    /**
     * Returns whether the request must not be sent to the server.
     *
     * @return true if it must not; false also if the server is only unlikely to serve it, and may be tried if there is
     *     no other
     */
    public boolean forbidsSending() {
        return firm;
    }

    /**
     * Returns the spelling used in logs.
     *
     * @return a lower-case label
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    abstract boolean applies(ServerDirectory directory, ServerState state, ServerQuery query, long nowNanos);
}
