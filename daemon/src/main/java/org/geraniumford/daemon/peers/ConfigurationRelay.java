package org.geraniumford.daemon.peers;

import java.util.Optional;

/** Access to the newest configuration in the form in which entries exchange it. */
public interface ConfigurationRelay {
    /**
     * Returns the version of the configuration in force.
     *
     * @return the version number that the operator set; 0 before the first configuration
     */
    long version();

    /**
     * Returns the document of the configuration in force.
     *
     * @return the operator's document, or empty before the first configuration
     */
    Optional<String> document();

    /**
     * Applies a document received from a peer; one that is not newer than the document in force is ignored.
     *
     * @param document the operator's document
     * @param peer the name of the peer that sent it, for the log
     */
    void applyDocument(String document, String peer);
}
