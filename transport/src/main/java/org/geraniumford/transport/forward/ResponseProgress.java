package org.geraniumford.transport.forward;

/** How much of a response has been written to its caller. */
enum ResponseProgress {
    /** Nothing; the caller waits for the head. */
    AWAITED("nothing"),
    /** The head, and perhaps some of the body. */
    BEGUN("a part"),
    /** All of it. */
    ENDED("all"),
    /** A part or nothing, and then the end of the connection. */
    CUT_OFF("the end of the connection");

    private final String label;

    ResponseProgress(String label) {
        this.label = label;
    }

    // -- queries

    /**
     * Returns what the caller has got.
     *
     * @return the text for the log
     */
    String label() {
        return label;
    }
}
