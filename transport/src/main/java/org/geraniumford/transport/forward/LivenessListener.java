package org.geraniumford.transport.forward;

/** Receives the results of a {@link LivenessWatch}. Called on the network thread. */
@FunctionalInterface
public interface LivenessListener {
    /**
     * Called after each attempt to connect.
     *
     * @param up whether a process listens at the address
     */
    void livenessChecked(boolean up);
}
