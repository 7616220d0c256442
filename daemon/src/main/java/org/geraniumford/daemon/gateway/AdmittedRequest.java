package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.geraniumford.core.prompt.PromptSpec;
import org.geraniumford.core.service.ApiCustomer;
import org.geraniumford.core.service.Route;
import org.geraniumford.core.service.RoutingTable;
import org.geraniumford.core.service.SharingGroup;

/**
 * A request that matches a route and is allowed by the configuration.
 *
 * @param request the decoded request
 * @param route the route that the request matches
 * @param service the name of the service drawn at random from the route's traffic split
 * @param customer the customer that the API key belongs to; empty if the request has no valid API key and needs none
 * @param timeLimit how long the request may take, counted from when its header fields were read
 * @param configurationVersion the version of the configuration that admitted the request
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
     * Returns the priority of the request.
     *
     * @return the customer's priority if it has one, else the route's; 0 is served first
     */
    public int priority() {
        return customer.map(ApiCustomer::priority)
                .filter(java.util.OptionalInt::isPresent)
                .map(java.util.OptionalInt::getAsInt)
                .orElseGet(route::priority);
    }

    /** Returns the KV memory that the request needs when it ends, in tokens; 0 without a prompt. */
    long totalTokens() {
        return request.prompt().map(PromptSpec::totalTokens).orElse(0L);
    }

    /**
     * Returns the customers with which the request's customer may share cached prompt segments. The customer is alone
     * if it was isolated when the request was admitted, or has become so since.
     *
     * @param inForce the configuration in force, which may be newer than the one that admitted the request
     */
    SharingGroup sharingGroup(RoutingTable inForce) {
        return customer.filter(ApiCustomer::isolated)
                .map(isolated -> SharingGroup.ofIsolated(isolated.name()))
                .orElseGet(() -> inForce.sharingGroup(customer.map(ApiCustomer::name)));
    }
}
