package org.geraniumford.transport.forward;

/** Receives the results of a {@link LivenessWatch}. Called on the network thread. */
@FunctionalInterface
public interface LivenessListener {
    /**
     * Called after each attempt to connect; the end of a connection alone is not reported.
     *
     * @param up whether the connection was accepted, so that a process listens at the address
     */
    void livenessChecked(boolean up);
}
