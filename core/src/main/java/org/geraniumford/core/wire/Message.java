package org.geraniumford.core.wire;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.geraniumford.core.fleet.CacheGossip;
import org.geraniumford.core.fleet.ServerGossip;
import org.geraniumford.core.limits.CustomerUse;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.quarantine.QuarantineGossip;
import org.geraniumford.core.service.OperatorGossip;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.weights.LeaseSnapshot;

/** A message between entries, sidecars and operators' commands. */
public sealed interface Message {
    // -- link

    /**
     * The first message on a link, in both directions.
     *
     * @param processId the sender's name from its settings
     * @param role the sender's role
     * @param failureDomain the sender's failure domain from its settings
     * @param backend for a sidecar, the name of its plain service, or its own if it has an engine; empty for others
     */
    record Hello(String processId, Role role, String failureDomain, String backend) implements Message {}

    /**
     * The state of a sidecar, sent after {@link Hello} and whenever a field other than the estimated wait changes.
     *
     * @param service the plain service in front of which the sidecar runs; empty for a model engine
     * @param modelVersion the model version that the engine serves; empty for a plain service
     * @param weightsDigest the digest of the engine's weights; empty for a plain service
     * @param backendIncarnation the backend server's incarnation; 0 while it is down
     * @param leaving whether the sidecar takes no new work
     * @param estimatedWaitMicros the estimated queueing delay of a request that arrives now, in microseconds
     */
    record SidecarState(
            String service,
            String modelVersion,
            String weightsDigest,
            long backendIncarnation,
            boolean leaving,
            long estimatedWaitMicros)
            implements Message {}

    /**
     * Requests a {@link Pong}.
     *
     * @param id the identifier that the response echoes
     */
    record Ping(long id) implements Message {}

    /**
     * The response to {@link Ping}.
     *
     * @param id the identifier of the request
     */
    record Pong(long id) implements Message {}

    // -- cache probes

    /**
     * Probes a sidecar for the blocks of a prompt that its engine caches.
     *
     * @param id the identifier that the response echoes
     * @param weightsDigest the digest of the weights that the request requires
     * @param shortDigests the first half of each block's key, first block to last
     */
    record Probe(long id, String weightsDigest, List<Long> shortDigests) implements Message {
        /** Copies the list. */
        public Probe {
            shortDigests = List.copyOf(shortDigests);
        }
    }

    /**
     * The response to {@link Probe}.
     *
     * @param id the identifier of the request
     * @param cachedBlocks the number of leading blocks that the engine caches
     * @param pendingBlocks the number of leading blocks cached once running prefills end, {@code cachedBlocks} or more
     * @param estimatedWaitMicros the estimated queueing delay, in microseconds
     * @param backendIncarnation the engine's incarnation
     * @param leaving whether the sidecar takes no new work
     */
    record ProbeResponse(
            long id,
            int cachedBlocks,
            int pendingBlocks,
            long estimatedWaitMicros,
            long backendIncarnation,
            boolean leaving)
            implements Message {}

    // -- model requests

    /**
     * Submits one attempt of a model request to a sidecar. The responses are {@link Started}, then {@link Chunk}s, and
     * one of {@link End} or {@link Refused}.
     *
     * @param id the attempt
     * @param model the model version's name
     * @param scope the scope within which cached prefixes may be shared
     * @param priorityClass the name of the priority class
     * @param priority the rank of the priority class; 0 is served first
     * @param customerWeight the customer's weight in the fair queue, at least 1
     * @param timeLeftMicros the time until the first token is due, in microseconds
     * @param expectedIncarnation the engine's incarnation when it was chosen; 0 if unknown
     * @param blocks the blocks of the prompt, first to last
     * @param prompt the whole prompt text
     * @param maxTokens the maximum number of output tokens
     * @param resumeOffset the number of output tokens already delivered to the caller
     * @param credit the number of output tokens that may be sent before the first {@link Credit}
     */
    record Submit(
            AttemptId id,
            String model,
            CacheScope scope,
            String priorityClass,
            int priority,
            int customerWeight,
            long timeLeftMicros,
            long expectedIncarnation,
            List<Block> blocks,
            String prompt,
            int maxTokens,
            int resumeOffset,
            int credit)
            implements Message {
        /** Checks that the identifier and the scope are not null, and copies the list. */
        public Submit {
            requireNonNull(id, "id is null");
            requireNonNull(scope, "scope is null");
            blocks = List.copyOf(blocks);
        }
    }

    /**
     * Reports that the engine started the attempt, and how many blocks it reuses.
     *
     * @param id the attempt
     * @param backendIncarnation the engine's incarnation
     * @param weightsDigest the digest of the weights that produce the response
     * @param cachedBlocks the number of leading blocks found in the cache
     */
    record Started(AttemptId id, long backendIncarnation, String weightsDigest, int cachedBlocks) implements Message {}

    /**
     * A run of output tokens.
     *
     * @param id the attempt
     * @param offset the number of output tokens before this run
     * @param tokens the tokens' texts, at least one
     */
    record Chunk(AttemptId id, int offset, List<String> tokens) implements Message {
        /** Copies the list. */
        public Chunk {
            tokens = List.copyOf(tokens);
        }
    }

    /**
     * The terminal event of a complete response.
     *
     * @param id the attempt
     * @param offset the number of output tokens in the whole response
     * @param finishReason why the response ends: {@code stop} or {@code length}
     * @param promptTokens the prompt's length in tokens
     * @param cachedTokens the number of prompt tokens found in the cache
     */
    record End(AttemptId id, int offset, String finishReason, int promptTokens, int cachedTokens) implements Message {}

    /**
     * The terminal event of an attempt or a call without a complete response.
     *
     * @param id the attempt
     * @param refusal the reason, the verdict and the retry-after delay
     */
    record Refused(AttemptId id, Refusal refusal) implements Message {}

    /**
     * Grants the sidecar credit to send more of the response.
     *
     * @param id the attempt
     * @param upToOffset the number of output tokens, from the start of the response, that may be sent
     */
    record Credit(AttemptId id, int upToOffset) implements Message {}

    /**
     * Cancels an attempt whose response is no longer needed.
     *
     * @param id the attempt
     */
    record Cancel(AttemptId id) implements Message {}

    // -- plain service calls

    /**
     * Submits one call, which the sidecar forwards to its plain service.
     *
     * @param id the attempt
     * @param attemptToken the unique token of the claim that reserves the call's idempotency key; empty for an
     *     idempotent call
     * @param tokenIssuedMicros when the token was issued, in microseconds since the epoch
     * @param method the HTTP method
     * @param path the path and query on the service, starting with {@code /}
     * @param contentType the body's media type; empty if there is no body
     * @param body the body, as text
     * @param timeoutMicros the longest time that the call may take, in microseconds
     */
    record Call(
            AttemptId id,
            String attemptToken,
            long tokenIssuedMicros,
            String method,
            String path,
            String contentType,
            String body,
            long timeoutMicros)
            implements Message {}

    /**
     * The response of the plain service to {@link Call}.
     *
     * @param id the attempt
     * @param status the HTTP status
     * @param contentType the body's media type
     * @param body the body, as text
     */
    record CallResponse(AttemptId id, int status, String contentType, String body) implements Message {}

    /**
     * Closes an attempt token at a sidecar, which refuses later calls with it. A token used before remains used.
     *
     * @param id the identifier that the response echoes
     * @param attemptToken the token
     * @param tokenIssuedMicros when the token was issued, in microseconds since the epoch
     */
    record CloseToken(long id, String attemptToken, long tokenIssuedMicros) implements Message {}

    /**
     * The response to {@link CloseToken}.
     *
     * @param id the identifier of the request
     * @param state the state of the token after the request
     */
    record CloseTokenResponse(long id, AttemptTokenState state) implements Message {}

    // -- configuration

    /**
     * Requests the configuration of a peer.
     *
     * @param id the identifier that a {@link ConfigurationResponse} echoes
     * @param newerThan the sender's configuration version; the response contains only a newer one
     */
    record ConfigurationRequest(long id, long newerThan) implements Message {}

    /**
     * The response to {@link ConfigurationRequest}.
     *
     * @param id the identifier of the request
     * @param version the version of the configuration; 0 if the peer has none newer
     * @param digest the hexadecimal SHA-256 digest of the text; empty if the peer has none newer
     * @param text the whole configuration, merged INI or the operator's JSON; empty if the peer has none newer
     */
    record ConfigurationResponse(long id, long version, String digest, String text) implements Message {}

    /**
     * The response to a {@link ConfigurationRequest} of a peer that is one version behind.
     *
     * @param id always 0, because the receiver handles a response whatever its id is
     * @param version the version of the configuration
     * @param digest the hexadecimal SHA-256 digest of its merged text
     * @param delta the change from the previous version, in INI
     */
    record ConfigurationDelta(long id, long version, String digest, String delta) implements Message {}

    // -- membership

    /**
     * Requests the host list that a peer last read.
     *
     * @param id the identifier that the response echoes
     */
    record HostListRequest(long id) implements Message {}

    /**
     * The response to {@link HostListRequest}.
     *
     * @param id the identifier of the request
     * @param hosts the platform's host list as the peer last read it; empty if it has none
     */
    record HostListResponse(long id, List<Host> hosts) implements Message {
        /** Copies the list. */
        public HostListResponse {
            hosts = List.copyOf(hosts);
        }
    }

    // -- operators

    /**
     * Drains a process, which takes no new work and finishes its running work. The response is {@link StatusResponse}.
     *
     * @param id the identifier that the response echoes
     */
    record Drain(long id) implements Message {}

    /**
     * Requests the state of a process.
     *
     * @param id the identifier that the response echoes
     */
    record StatusRequest(long id) implements Message {}

    /**
     * The response to {@link StatusRequest} and {@link Drain}.
     *
     * @param id the identifier of the request
     * @param json the state of the process as a JSON object
     */
    record StatusResponse(long id, String json) implements Message {}

    // -- customers' limits

    /**
     * Reports an entry's usage of a customer's limits since its last report, to the owner of the limits.
     *
     * @param customer the customer's name
     * @param entry the reporting entry's name
     * @param periodMicros the time since the last report, in microseconds, at least 1
     * @param requests the number of requests admitted
     * @param receivedRequests the number of requests received, including those refused
     * @param tokens the number of tokens admitted, corrected when requests end; may be negative
     * @param receivedTokens the number of tokens of the requests received, including those refused; corrected likewise
     * @param streams the number of admitted requests that have not ended, calls of plain services included
     */
    record LimitUsageReport(
            String customer,
            String entry,
            long periodMicros,
            long requests,
            long receivedRequests,
            long tokens,
            long receivedTokens,
            int streams)
            implements Message {}

    /**
     * The response to {@link LimitUsageReport}: the entry's share of the limits until its next report.
     *
     * @param customer the customer's name
     * @param requestsPerKilosecond the requests allowed in 1,000 seconds
     * @param tokensPerSecond the tokens allowed per second
     * @param streams the number of requests that may be in progress at once
     * @param blockedMicros the time for which nothing may be admitted, in microseconds; 0 if not blocked
     * @param reportAfterMicros the time from the last report to the next one, in microseconds
     */
    record LimitGrant(
            String customer,
            long requestsPerKilosecond,
            long tokensPerSecond,
            int streams,
            long blockedMicros,
            long reportAfterMicros)
            implements Message {}

    // -- gossip between entries

    /**
     * The gossip that an entry sends to its peers several times a second.
     *
     * @param servers the sender's load on backend servers, their leaving and their limits
     * @param operator what the sender knows of the operator's table
     * @param lease the weights lease as the sender last read, wrote or received it; empty if not renewed recently
     * @param cache the cache changes caused by the requests that the sender forwarded since its last gossip
     * @param quarantine the prompt segments under which engines ended
     * @param customers what the sender has used of customers' limits; only changes unless the message is complete
     */
    record Gossip(
            ServerGossip servers,
            OperatorGossip operator,
            LeaseSnapshot lease,
            CacheGossip cache,
            QuarantineGossip quarantine,
            List<CustomerUse> customers)
            implements Message {
        /** Copies the list. */
        public Gossip {
            customers = List.copyOf(customers);
        }
    }
}
