package org.geraniumford.transport.response;

import static java.util.Objects.requireNonNull;

/** The head or trailer of a response cannot be believed. Has no stack trace: servers can cause many of them. */
public final class ResponseHeadException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ResponseHeadFault fault;

    private ResponseHeadException(ResponseHeadFault fault) {
        super(fault.label(), null, false, false);
        this.fault = fault;
    }

    // -- construction

    /**
     * Creates an exception.
     *
     * @param fault what is wrong
     * @return an exception whose message is the fault's label
     */
    public static ResponseHeadException of(ResponseHeadFault fault) {
        return new ResponseHeadException(requireNonNull(fault, "fault is null"));
    }

    // -- queries

    /**
     * Returns what is wrong.
     *
     * @return the fault
     */
    public ResponseHeadFault fault() {
        return fault;
    }
}
