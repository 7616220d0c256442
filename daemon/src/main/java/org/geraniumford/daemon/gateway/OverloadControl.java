package org.geraniumford.daemon.gateway;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.geraniumford.core.fleet.OverloadDecision;
import org.geraniumford.core.fleet.OverloadInputs;
import org.geraniumford.core.fleet.ServerQuery;
import org.geraniumford.core.limits.CustomerShares;
import org.geraniumford.core.limits.RefusalTurns;
import org.geraniumford.core.prompt.PromptSpec;
import org.geraniumford.core.service.ApiCustomer;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.transport.log.LogEvent;

/**
 * Refuses requests for which the servers have no room, and determines when refused requests should come again. Used
 * only on the gateway's network thread.
 */
final class OverloadControl {
    /** The time until there is a server, if none can take the request now and none says when; loads take 570 ms. */
    private static final Duration UNTIL_SERVER = Duration.ofMillis(250);

    /** How many requests a second are told to come to servers of which nothing is known. */
    private static final double ASSUMED_PLACES_PER_SECOND = 20;

    private final Gateway gateway;
    private final Map<String, RefusalTurns> turnsByService = new HashMap<>();

    OverloadControl(Gateway gateway) {
        this.gateway = gateway;
    }

    // -- commands

    /**
     * Decides whether a request is refused for overload, and logs and counts it then.
     *
     * @param admitted the request
     * @param query the request's requirements
     * @param retry whether a server rejected the request before
     * @return the refusal; empty if the request may be sent
     */
    Optional<Refusal> refuse(AdmittedRequest admitted, ServerQuery query, boolean retry) {
        long nowNanos = System.nanoTime();
        boolean aboveShare = isAboveShare(admitted, nowNanos);
        OverloadDecision decision =
                gateway.chooser().decideOverload(gateway.state().directory(), query, retry || aboveShare, nowNanos);
        if (!(decision instanceof OverloadDecision.Refused refused)) {
            return Optional.empty();
        }
        Duration retryAfter = recordRefused(admitted, query, refused.untilRoom(), refused.placesPerSecond(), nowNanos);
        OverloadInputs inputs = refused.inputs();
        LogEvent.of("overloaded")
                .with("request", admitted.request().id())
                .with("priority", admitted.priority())
                .with("servers", inputs.considered())
                .with("rejecting", inputs.rejecting())
                .with("wait_ms", inputs.shortestWaitMs())
                .with("free_tokens", inputs.mostFreeTokens())
                .with("free_slots", inputs.mostFreeSlots())
                .with("limit_ms", query.timeLimit().toMillis())
                .with("retry", retry)
                .with("above_share", aboveShare)
                .with("retry_ms", retryAfter.toMillis())
                .info();
        gateway.metrics().countOverloaded(admitted.priority());
        return Optional.of(Refusal.notRun(Reason.DEADLINE_UNREACHABLE, "every server is overloaded")
                .withRetryAfter(retryAfter));
    }

    /**
     * Determines when a request should come again for which there is no server, or that servers rejected.
     *
     * @param admitted the request
     * @param query the request's requirements
     * @return the time, behind the requests that were refused before
     */
    Duration retryAfter(AdmittedRequest admitted, ServerQuery query) {
        long nowNanos = System.nanoTime();
        OverloadDecision decision =
                gateway.chooser().decideOverload(gateway.state().directory(), query, false, nowNanos);
        return decision instanceof OverloadDecision.Refused refused
                ? recordRefused(admitted, query, refused.untilRoom(), refused.placesPerSecond(), nowNanos)
                : recordRefused(admitted, query, UNTIL_SERVER, ASSUMED_PLACES_PER_SECOND, nowNanos);
    }

    /** Records a refusal. The places of the entries alternate, so that their first callers don't return together. */
    private Duration recordRefused(
            AdmittedRequest admitted, ServerQuery query, Duration untilRoom, double placesPerSecond, long nowNanos) {
        double position = gateway.state().directory().entryShare().position();
        Duration untilOwnPlace = untilRoom.plusNanos((long) (position / placesPerSecond * TimeUnit.SECONDS.toNanos(1)));
        return turns(admitted)
                .recordRefused(
                        customerName(admitted),
                        admitted.priority(),
                        untilOwnPlace,
                        placesPerSecond,
                        query.timeLimit(),
                        nowNanos);
    }

    private boolean isAboveShare(AdmittedRequest admitted, long nowNanos) {
        String customer = customerName(admitted);
        return turns(admitted).isOtherWaiting(customer, admitted.priority(), nowNanos)
                && CustomerShares.isFarAbove(workByCustomer(admitted, gateway.requestsInProgress()), customer);
    }

    /** Returns the work that this entry has in progress with the request's service and priority. */
    private static Map<String, Long> workByCustomer(
            AdmittedRequest admitted, Collection<AdmittedRequest> requestsInProgress) {
        return requestsInProgress.stream()
                .filter(other -> !other.equals(admitted))
                .filter(other -> other.service().equals(admitted.service()))
                .filter(other -> other.priority() == admitted.priority())
                .collect(Collectors.toMap(OverloadControl::customerName, OverloadControl::work, Long::sum));
    }

    /** Returns the tokens of a request, which count 1 without a prompt. */
    private static long work(AdmittedRequest request) {
        return request.request().prompt().map(PromptSpec::totalTokens).orElse(1L);
    }

    private static String customerName(AdmittedRequest admitted) {
        return admitted.customer().map(ApiCustomer::name).orElse("");
    }

    private RefusalTurns turns(AdmittedRequest admitted) {
        return turnsByService.computeIfAbsent(admitted.service(), service -> RefusalTurns.empty());
    }
}
