package org.geraniumford.daemon.peers;

import java.util.Optional;

/** The newest configuration in the form in which it is passed between entries. */
public interface ConfigurationRelay {
    /**
     * Returns the version in force.
     *
     * @return the operator's version; 0 before the first one
     */
    long version();

    /**
     * Returns the document in force.
     *
     * @return the operator's document, or empty before the first one
     */
    Optional<String> document();

    /**
     * Takes a document from a peer; an older one than that in force is ignored.
     *
     * @param document the operator's document
     * @param peer who sent it, for the log
     */
    void applyDocument(String document, String peer);
}
