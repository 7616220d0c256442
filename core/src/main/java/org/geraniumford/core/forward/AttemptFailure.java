package org.geraniumford.core.forward;

import org.geraniumford.core.verdict.Verdict;

/**
 * How an attempt at a backend server ended without a usable response. Logs contain the simple names of the variants.
 */
public sealed interface AttemptFailure {
    // -- queries

    /**
     * Returns whether the request may have run at this server.
     *
     * @return the verdict of this attempt
     */
    Verdict verdict();

    /**
     * Returns whether the request was sent, so that a further attempt counts against the retry budget.
     *
     * @return false if no byte of the request was sent
     */
    boolean requestSent();

    // -- variants

    /**
     * Nothing was sent, because no connection could be opened, or because the deadline had passed or the server's
     * weights had become too old once one was open.
     */
    record Unreachable() implements AttemptFailure {
        @Override
        public Verdict verdict() {
            return Verdict.NOT_RUN;
        }

        @Override
        public boolean requestSent() {
            return false;
        }
    }

    /** The server sent a rejection: it did not run the request. */
    record TurnedAway() implements AttemptFailure {
        @Override
        public Verdict verdict() {
            return Verdict.NOT_RUN;
        }

        @Override
        public boolean requestSent() {
            return true;
        }
    }

    /**
     * After the request was sent, the connection or the response broke off, the server sent nothing in time, or the
     * response could not be trusted or was too large.
     */
    record Broken() implements AttemptFailure {
        @Override
        public Verdict verdict() {
            return Verdict.MAY_HAVE_RUN;
        }

        @Override
        public boolean requestSent() {
            return true;
        }
    }

    /**
     * The router closed the connection because the request had not begun in time. The server was not at fault; it may
     * have begun meanwhile.
     */
    record Withdrawn() implements AttemptFailure {
        @Override
        public Verdict verdict() {
            return Verdict.MAY_HAVE_RUN;
        }

        @Override
        public boolean requestSent() {
            return true;
        }
    }

    /** The server ran the request and sent an error response. */
    record ErrorAnswer() implements AttemptFailure {
        @Override
        public Verdict verdict() {
            return Verdict.RAN;
        }

        @Override
        public boolean requestSent() {
            return true;
        }
    }
}
