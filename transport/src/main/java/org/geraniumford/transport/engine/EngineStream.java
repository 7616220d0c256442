package org.geraniumford.transport.engine;

/** A running completion. Thread-safe. */
public interface EngineStream {
    /** Stops reading the response until {@link #resume()}. Events that were already read are still delivered. */
    void pause();

    /** Continues reading the response. */
    void resume();

    /** Closes the connection. The listener is not called any more. */
    void abort();
}
