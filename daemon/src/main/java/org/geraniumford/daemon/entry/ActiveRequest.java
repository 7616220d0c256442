package org.geraniumford.daemon.entry;

import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.request.RequestState;
import org.geraniumford.transport.link.Link;

/**
 * A model request in progress: its state, the response to its caller and the link of its current attempt. Used by one
 * worker only; not thread-safe.
 */
final class ActiveRequest {
    private final Customer customer;
    private final ResponseWriter response;
    private RequestState state;
    private Link link;
    private int cachedBlocks;
    private boolean firstTokenSeen;

    private ActiveRequest(Customer customer, ResponseWriter response) {
        this.customer = customer;
        this.response = response;
    }

    // -- construction

    static ActiveRequest of(Customer customer, ResponseWriter response) {
        return new ActiveRequest(customer, response);
    }

    // -- queries

    Customer customer() {
        return customer;
    }

    ResponseWriter response() {
        return response;
    }

    /** Returns the current state; null before the first call of {@link #transitionTo}. */
    RequestState state() {
        return state;
    }

    /** Returns how many blocks of the prompt the last started attempt found in the prefix cache; 0 before the first. */
    int cachedBlocks() {
        return cachedBlocks;
    }

    /** Returns whether the current attempt was sent on a link that is closed by now. */
    boolean isLinkClosed() {
        return link != null && !link.isOpen();
    }

    // -- commands

    void transitionTo(RequestState newState) {
        state = newState;
    }

    /** Sets the link that the current attempt was sent on; null if it could not be sent. */
    void attachLink(Link newLink) {
        link = newLink;
    }

    void recordCachedBlocks(int blocks) {
        cachedBlocks = blocks;
    }

    /** Records that a token arrived. Returns true for the first token only. */
    boolean markFirstToken() {
        boolean first = !firstTokenSeen;
        firstTokenSeen = true;
        return first;
    }
}
