package org.geraniumford.daemon.entry;

import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.request.RequestState;
import org.geraniumford.transport.link.Link;

/** One model request that an entry works on. Owned by one duty. */
final class ActiveRequest {
    private final Customer customer;
    private final Answer answer;
    private RequestState state;
    private Link link;
    private int cachedPieces;
    private boolean firstTokenSeen;

    private ActiveRequest(Customer customer, Answer answer) {
        this.customer = customer;
        this.answer = answer;
    }

    // -- construction

    static ActiveRequest of(Customer customer, Answer answer) {
        return new ActiveRequest(customer, answer);
    }

    // -- queries

    Customer customer() {
        return customer;
    }

    Answer answer() {
        return answer;
    }

    RequestState state() {
        return state;
    }

    int cachedPieces() {
        return cachedPieces;
    }

    /** Says whether the connection that carries the current attempt has ended. */
    boolean linkEnded() {
        return link != null && !link.open();
    }

    // -- commands

    void moveTo(RequestState next) {
        state = next;
    }

    void submittedOn(Link carrier) {
        link = carrier;
    }

    void cached(int pieces) {
        cachedPieces = pieces;
    }

    /** Returns true the first time only. */
    boolean markFirstToken() {
        boolean first = !firstTokenSeen;
        firstTokenSeen = true;
        return first;
    }
}
