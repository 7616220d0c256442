package org.geraniumford.daemon.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.wire.AttemptTokenState;
import org.geraniumford.core.wire.Message;

/**
 * Sends requests to the sidecars of plain services. Failures are {@code RefusalException}s whose verdict states whether
 * the call may have run.
 */
public interface SidecarClient {
    /**
     * Returns the hosts of a plain service that are connected and neither leaving nor suspect: those in the entry's
     * failure domain first, each group by estimated wait, the shortest first.
     *
     * @param service the service's name
     * @return the host names; empty if no host is available
     */
    List<String> candidates(String service);

    /**
     * Sends a call to a host.
     *
     * @param host the host's name
     * @param call the call
     * @return completes with the service's response, or exceptionally with the refusal
     */
    CompletableFuture<Message.CallResponse> call(String host, Message.Call call);

    /**
     * Closes an attempt token at a host, so that the host never forwards a call with the token from now on. A token
     * that was used before stays used.
     *
     * @param host the host's name
     * @param attemptToken the token
     * @param tokenIssuedMicros the time at which the token was issued, in microseconds since the epoch
     * @return completes with the state of the token after the request, or exceptionally with the refusal if the host
     *     does not respond
     */
    CompletableFuture<AttemptTokenState> closeToken(String host, String attemptToken, long tokenIssuedMicros);
}
