package org.geraniumford.daemon.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.wire.AttemptTokenState;
import org.geraniumford.core.wire.Message;

/** Reaches the sidecars of plain services. Failures are {@code RefusalException}s with a true verdict. */
public interface SidecarClient {
    /**
     * Lists the hosts of a plain service that are connected and not leaving, nearest first.
     *
     * @param service the service's name
     * @return host names; empty if none can take a call
     */
    List<String> candidates(String service);

    /**
     * Passes one call to a host.
     *
     * @param host a host name
     * @param call the call
     * @return the service's answer, or a failure that says whether the call may have run
     */
    CompletableFuture<Message.CallResponse> call(String host, Message.Call call);

    /**
     * Asks a host to never pass on an attempt token.
     *
     * @param host a host name
     * @param attemptToken the token
     * @param tokenIssuedMicros when the token was made, in microseconds since the epoch
     * @return what became of the token, or a failure if the host does not answer
     */
    CompletableFuture<AttemptTokenState> closeToken(String host, String attemptToken, long tokenIssuedMicros);
}
