package org.geraniumford.daemon.gateway;

/** The kind of a backend server's response, as its head shows. */
public enum ResponseKind {
    /** The response belongs to another request. */
    OTHER_REQUEST,
    /**
     * The response cannot be trusted: it has no request id, it is a success without a signature or with an encoded
     * body, its status is that of a rejection without the field that confirms one, or it is a refusal that may answer
     * an earlier request of its connection. The request may have run.
     */
    UNTRUSTED,
    /** The response names its request, or is signed, more than once. The request may have run. */
    AMBIGUOUS,
    /** The server rejected the request without running it. */
    NOT_RUN,
    /** The server did not run the request, because it has other weights loaded or is a different server. */
    MISDIRECTED,
    /** The server ran the request and failed. */
    ERROR,
    /** The response can be forwarded to the caller. */
    FORWARDABLE;

    // -- queries

    /**
     * Returns whether the response says that the request was not run.
     *
     * @return true for a rejection and for a misdirected request
     */
    public boolean isRefusal() {
        return this == NOT_RUN || this == MISDIRECTED;
    }

    /**
     * Returns whether nothing that the response says can be believed.
     *
     * @return true if the request may have run, whatever the response says
     */
    public boolean isDoubtful() {
        return this == UNTRUSTED || this == AMBIGUOUS;
    }
}
