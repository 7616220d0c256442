package org.geraniumford.transport.engine;

/** A completion that runs. Thread-safe. */
public interface EngineStream {
    /** Stops reading the answer until {@link #resume()}; what was read already still arrives. */
    void pause();

    /** Reads the answer again. */
    void resume();

    /** Ends the connection; the listener hears nothing more. */
    void abort();
}
