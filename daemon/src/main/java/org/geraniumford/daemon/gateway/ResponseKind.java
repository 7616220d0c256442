package org.geraniumford.daemon.gateway;

/** What the head of a backend server's answer says. */
public enum ResponseKind {
    /** Belongs to another request. */
    OTHER_REQUEST,
    /** Cannot be trusted as an answer: unsigned, or it promises what the server did not promise. */
    UNTRUSTED,
    /** The server did not run the request. */
    NOT_RUN,
    /** The server did not run the request, since it holds other weights or is another server. */
    MISDIRECTED,
    /** The server ran the request and failed. */
    ERROR,
    /** An answer to pass on. */
    FORWARDABLE
}
