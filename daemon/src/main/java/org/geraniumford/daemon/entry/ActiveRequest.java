package org.geraniumford.daemon.entry;

import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.request.RequestState;
import org.geraniumford.transport.link.Link;

/** One model request that an entry works on. Owned by one duty. */
final class ActiveRequest {
    private final Customer customer;
    private final ResponseWriter response;
    private RequestState state;
    private Link link;
    private int cachedBlocks;
    private boolean firstTokenSeen;

    private ActiveRequest(Customer customer, ResponseWriter answer) {
        this.customer = customer;
        this.response = answer;
    }

    // -- construction

    static ActiveRequest of(Customer customer, ResponseWriter answer) {
        return new ActiveRequest(customer, answer);
    }

    // -- queries

    Customer customer() {
        return customer;
    }

    ResponseWriter response() {
        return response;
    }

    RequestState state() {
        return state;
    }

    int cachedBlocks() {
        return cachedBlocks;
    }

    /** Says whether the connection that carries the current attempt has ended. */
    boolean isLinkClosed() {
        return link != null && !link.isOpen();
    }

    // -- commands

    void transitionTo(RequestState next) {
        state = next;
    }

    void attachLink(Link carrier) {
        link = carrier;
    }

    void recordCachedBlocks(int pieces) {
        cachedBlocks = pieces;
    }

    /** Returns true the first time only. */
    boolean markFirstToken() {
        boolean first = !firstTokenSeen;
        firstTokenSeen = true;
        return first;
    }
}
