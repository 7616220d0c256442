package org.geraniumford.core.wire;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.geraniumford.core.fleet.CacheGossip;
import org.geraniumford.core.fleet.LeavingServer;
import org.geraniumford.core.fleet.ServerLoad;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.weights.PublishedWeights;

/** What entries, sidecars and operators' commands say to each other. */
public sealed interface Message {
    // -- connection

    /**
     * The first message on a connection, in both directions.
     *
     * @param processId the sender's name from its settings
     * @param role what the sender does
     * @param failureDomain the sender's failure domain from its settings
     * @param backend what a sidecar stands in front of: a model runner's name or a plain service's; empty for others
     */
    record Hello(String processId, Role role, String failureDomain, String backend) implements Message {}

    /**
     * A sidecar's state. Sent after {@link Hello} and whenever a field changes.
     *
     * @param service the plain service in front of which the sidecar stands; empty for a model engine
     * @param modelVersion the model version that the engine serves; empty for a plain service
     * @param weightsDigest the digest of the engine's weights; empty for a plain service
     * @param backendIncarnation the backend server's incarnation; 0 while it is down
     * @param leaving whether the sidecar takes no new work
     * @param estimatedWaitMicros the estimated time in the queue of a request that arrives now, in microseconds
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
     * Asks the other side to answer with {@link Pong}.
     *
     * @param id echoed in the answer
     */
    record Ping(long id) implements Message {}

    /**
     * Answers {@link Ping}.
     *
     * @param id the identifier asked with
     */
    record Pong(long id) implements Message {}

    // -- cache probes

    /**
     * Asks a sidecar what it holds of a prompt.
     *
     * @param id echoed in the answer
     * @param weightsDigest the weights that the request needs
     * @param shortDigests the first half of each piece's key, first piece to last
     */
    record Probe(long id, String weightsDigest, List<Long> shortDigests) implements Message {
        /** Copies the list. */
        public Probe {
            shortDigests = List.copyOf(shortDigests);
        }
    }

    /**
     * Answers {@link Probe}.
     *
     * @param id the identifier asked with
     * @param cachedBlocks how many leading pieces the engine holds
     * @param pendingBlocks how many leading pieces it will hold once running prefills end, at least
     *     {@code cachedPieces}
     * @param estimatedWaitMicros the estimated time in the queue, in microseconds
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
     * Asks a sidecar to run one attempt of a model request. The answers are {@link Started}, {@link Chunk}s and one of
     * {@link End} or {@link Refused}.
     *
     * @param id the attempt
     * @param model the model version's name
     * @param scope what the cached prefixes belong to
     * @param priorityClass the name of the priority class
     * @param priority the class's rank; 0 is served first
     * @param customerWeight the customer's share in the fair queue, at least 1
     * @param timeLeftMicros the time left until the first token is due, in microseconds
     * @param expectedIncarnation the engine's incarnation when it was chosen; 0 if not known
     * @param blocks the prompt's pieces
     * @param prompt the whole prompt text
     * @param maxTokens the longest answer, in tokens
     * @param resumeOffset the number of answer tokens that the caller has already
     * @param credit the number of tokens that may be sent before the first {@link Credit}
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
        /** Copies the list. */
        public Submit {
            requireNonNull(id, "id is null");
            requireNonNull(scope, "scope is null");
            blocks = List.copyOf(blocks);
        }
    }

    /**
     * Says that the engine took the request and what it reuses.
     *
     * @param id the attempt
     * @param backendIncarnation the engine's incarnation
     * @param weightsDigest the weights that produce the answer
     * @param cachedBlocks the number of pieces taken from the cache
     */
    record Started(AttemptId id, long backendIncarnation, String weightsDigest, int cachedBlocks) implements Message {}

    /**
     * A run of answer tokens.
     *
     * @param id the attempt
     * @param offset the number of answer tokens before this run
     * @param tokens the tokens' texts, at least one
     */
    record Chunk(AttemptId id, int offset, List<String> tokens) implements Message {
        /** Copies the list. */
        public Chunk {
            tokens = List.copyOf(tokens);
        }
    }

    /**
     * The terminal event of a complete answer.
     *
     * @param id the attempt
     * @param offset the number of tokens in the whole answer
     * @param finishReason why the answer ends: {@code stop} or {@code length}
     * @param promptTokens the prompt's length in tokens
     * @param cachedTokens the number of prompt tokens taken from the cache
     */
    record End(AttemptId id, int offset, String finishReason, int promptTokens, int cachedTokens) implements Message {}

    /**
     * The terminal event of an attempt or a call without a complete answer.
     *
     * @param id the attempt
     * @param refusal why, whether it may have run, and when to come back
     */
    record Refused(AttemptId id, Refusal refusal) implements Message {}

    /**
     * Allows the sidecar to send more of the answer.
     *
     * @param id the attempt
     * @param upToOffset the number of answer tokens that may be sent in all
     */
    record Credit(AttemptId id, int upToOffset) implements Message {}

    /**
     * Ends an attempt whose answer nobody waits for.
     *
     * @param id the attempt
     */
    record Cancel(AttemptId id) implements Message {}

    // -- plain service calls

    /**
     * Asks a sidecar to pass one call to its plain service.
     *
     * @param id the attempt
     * @param attemptToken the unique token of a claim; empty for an idempotent call
     * @param tokenIssuedMicros when the token was made, in microseconds since the epoch
     * @param method the HTTP method
     * @param path the path and query on the service, from {@code /}
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
     * The plain service's answer.
     *
     * @param id the attempt
     * @param status the HTTP status
     * @param contentType the body's media type
     * @param body the body, as text
     */
    record CallResponse(AttemptId id, int status, String contentType, String body) implements Message {}

    /**
     * Asks a sidecar to never pass on a token that it has not passed yet.
     *
     * @param id echoed in the answer
     * @param attemptToken the token
     * @param tokenIssuedMicros when the token was made, in microseconds since the epoch
     */
    record CloseToken(long id, String attemptToken, long tokenIssuedMicros) implements Message {}

    /**
     * Answers {@link CloseToken}.
     *
     * @param id the identifier asked with
     * @param state what became of the token
     */
    record CloseTokenResponse(long id, AttemptTokenState state) implements Message {}

    // -- configuration

    /**
     * Asks a peer for its configuration.
     *
     * @param id echoed in the answer
     * @param newerThan the version that the asker has
     */
    record ConfigurationRequest(long id, long newerThan) implements Message {}

    /**
     * Answers {@link ConfigurationRequest}.
     *
     * @param id the identifier asked with
     * @param version the version of the configuration; 0 if the peer has none newer
     * @param digest the hexadecimal SHA-256 digest of the text
     * @param text the merged configuration in INI; empty if the peer has none newer
     */
    record ConfigurationResponse(long id, long version, String digest, String text) implements Message {}

    /**
     * Answers {@link ConfigurationRequest} of a peer that is one version behind.
     *
     * @param id the identifier asked with
     * @param version the version of the configuration
     * @param digest the hexadecimal SHA-256 digest of its merged text
     * @param delta the change from the version before, in INI
     */
    record ConfigurationDelta(long id, long version, String digest, String delta) implements Message {}

    // -- membership

    /**
     * Asks a peer for the host list that it last read.
     *
     * @param id echoed in the answer
     */
    record HostListRequest(long id) implements Message {}

    /**
     * Answers {@link HostListRequest}.
     *
     * @param id the identifier asked with
     * @param hosts the platform's list as the peer last read it; empty if it has none
     */
    record HostListResponse(long id, List<Host> hosts) implements Message {
        /** Copies the list. */
        public HostListResponse {
            hosts = List.copyOf(hosts);
        }
    }

    // -- operators

    /**
     * Asks a process to take no new work, finish what runs, and say so.
     *
     * @param id echoed in the answer
     */
    record Drain(long id) implements Message {}

    /**
     * Asks a process for its state.
     *
     * @param id echoed in the answer
     */
    record StatusRequest(long id) implements Message {}

    /**
     * Answers {@link StatusRequest} and {@link Drain}.
     *
     * @param id the identifier asked with
     * @param json the process's state as a JSON object
     */
    record StatusResponse(long id, String json) implements Message {}

    // -- customers' limits

    /**
     * Tells a customer's home entry what another entry did for the customer since its last report.
     *
     * @param customer the customer's name
     * @param entry the reporting entry's name
     * @param periodMicros the time since the last report, in microseconds
     * @param requests the requests admitted
     * @param wantedRequests the requests asked for
     * @param tokens the tokens admitted
     * @param wantedTokens the tokens asked for
     * @param streams the streams open now
     */
    record LimitUsageReport(
            String customer,
            String entry,
            long periodMicros,
            long requests,
            long wantedRequests,
            long tokens,
            long wantedTokens,
            int streams)
            implements Message {}

    /**
     * Answers {@link LimitUsageReport} with what the entry may do next.
     *
     * @param customer the customer's name
     * @param requestsPerKilosecond the requests in 1,000 seconds
     * @param tokensPerSecond the tokens a second
     * @param streams the streams that may be open
     * @param blockedMicros how long nothing may be admitted, in microseconds
     * @param reportAfterMicros when to report next, in microseconds
     */
    record LimitGrant(
            String customer,
            long requestsPerKilosecond,
            long tokensPerSecond,
            int streams,
            long blockedMicros,
            long reportAfterMicros)
            implements Message {}

    // -- gateways

    /**
     * What an entry tells its peers several times a second.
     *
     * @param loads what it has in progress, without idle backend servers
     * @param leaving the backend servers that it lately saw leaving
     * @param weights the weights that the operator named
     * @param lease the lease on weights orders as the sender last saw it
     * @param cache what it learned of caches since its last pulse
     */
    record Gossip(
            List<ServerLoad> loads,
            List<LeavingServer> leaving,
            List<PublishedWeights> weights,
            LeaseSnapshot lease,
            CacheGossip cache)
            implements Message {
        /** Copies the lists. */
        public Gossip {
            loads = List.copyOf(loads);
            leaving = List.copyOf(leaving);
            weights = List.copyOf(weights);
        }
    }
}
