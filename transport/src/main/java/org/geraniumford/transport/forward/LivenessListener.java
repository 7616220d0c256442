package org.geraniumford.transport.forward;

/** Receives what a {@link LivenessWatch} finds. Called on the network thread. */
@FunctionalInterface
public interface LivenessListener {
    /**
     * Takes the outcome of an attempt to connect.
     *
     * @param up whether a process listens
     */
    void livenessChecked(boolean up);
}
