package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.geraniumford.core.service.ApiCustomer;
import org.geraniumford.core.service.Route;

/**
 * A request that the configuration allows.
 *
 * @param request what it says
 * @param route the route that it matches
 * @param service the service drawn from the route's split
 * @param customer the customer that holds its key; empty on a route that needs none
 * @param timeLimit how long it may take from its arrival
 * @param configurationVersion the version of the configuration that allows it
 */
public record AdmittedRequest(
        InboundRequest request,
        Route route,
        String service,
        Optional<ApiCustomer> customer,
        Duration timeLimit,
        long configurationVersion) {
    /** Checks the components. */
    public AdmittedRequest {
        requireNonNull(request, "request is null");
        requireNonNull(route, "route is null");
        requireNonNull(service, "service is null");
        requireNonNull(customer, "customer is null");
        requireNonNull(timeLimit, "timeLimit is null");
    }

    // -- queries

    /**
     * Returns the request's rank.
     *
     * @return the customer's priority if it has one, else the route's; 0 first
     */
    public int priority() {
        return customer.map(ApiCustomer::priority)
                .filter(java.util.OptionalInt::isPresent)
                .map(java.util.OptionalInt::getAsInt)
                .orElseGet(route::priority);
    }

    /**
     * Names the scope within which prompt parts may be shared. Parts never pass between versions of the weights, nor
     * from or to an isolated customer.
     *
     * @param weights the version of the weights, or a name that no other engine shares
     * @return the scope
     */
    public String cacheScope(String weights) {
        String wall = customer.filter(ApiCustomer::isolated)
                .map(owner -> "customer-" + owner.name())
                .orElse("shared");
        return wall + "-" + weights;
    }
}
