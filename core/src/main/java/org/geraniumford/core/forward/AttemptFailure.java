package org.geraniumford.core.forward;

import org.geraniumford.core.verdict.Verdict;

/** How one try at a backend server ended without a usable answer. */
public sealed interface AttemptFailure {
    // -- queries

    /**
     * Says what is known of the request's effect there.
     *
     * @return the verdict on this try
     */
    Verdict verdict();

    /**
     * Says whether the request reached the server, so that another try counts as a repeat.
     *
     * @return false if no byte of it was sent
     */
    boolean requestSent();

    // -- variants

    /** No connection could be opened; nothing was sent. */
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

    /** The server said that it did not run the request. */
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

    /** The connection or the answer broke, or the server stayed silent, after the request was sent. */
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

    /** The server ran the request and answered with an error of its own. */
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
