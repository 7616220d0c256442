package org.geraniumford.core.request;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

/**
 * The outcome of one decision.
 *
 * @param state the state after the decision
 * @param actions the actions to perform, in order
 */
public record RequestStep(RequestState state, List<RequestAction> actions) {
    /** Checks that the state is not null and copies the list. */
    public RequestStep {
        requireNonNull(state, "state is null");
        actions = List.copyOf(actions);
    }

    // -- construction

    static RequestStep of(RequestState state, RequestAction... actions) {
        return new RequestStep(state, List.of(actions));
    }

    // -- combinators

    RequestStep withAction(RequestAction action) {
        return new RequestStep(state, append(actions, List.of(action)));
    }

    RequestStep then(Function<RequestState, RequestStep> next) {
        RequestStep following = next.apply(state);
        return new RequestStep(following.state, append(actions, following.actions));
    }

    RequestStep map(UnaryOperator<RequestState> change) {
        return new RequestStep(change.apply(state), actions);
    }

    private static List<RequestAction> append(List<RequestAction> first, List<RequestAction> second) {
        return Stream.concat(first.stream(), second.stream()).toList();
    }
}
