package org.geraniumford.core.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumford.core.admission.CustomerQueue.QueuedRequest;
import org.geraniumford.core.cache.CacheView;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.AttemptId;

/**
 * The bounded queue in front of one engine. Customers share the engine by weight, with start-time fair queueing over
 * the estimated work. A customer's own requests are served by priority, then by arrival. A request whose first uncached
 * block is being computed waits until that prefill ends. A request whose wait would delay its first token beyond its
 * deadline is refused on arrival. Times are in nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class AdmissionQueue {
    private final AdmissionLimits limits;
    private final Map<String, CustomerQueue> customers = new LinkedHashMap<>();
    private final Map<AttemptId, QueuedRequest> waiting = new LinkedHashMap<>();
    private final RunningRequests running = new RunningRequests();
    private EngineCostModel costs;
    private double virtualTime;
    private long waitingBytes;
    private long arrivals;

    private AdmissionQueue(AdmissionLimits limits, EngineCostModel costs) {
        this.limits = limits;
        this.costs = costs;
    }

    // -- construction

    /**
     * Creates an empty queue.
     *
     * @param limits the limits of the queue
     * @param costs the initial cost model of the engine
     * @return an empty queue in front of an idle engine
     */
    public static AdmissionQueue of(AdmissionLimits limits, EngineCostModel costs) {
        return new AdmissionQueue(requireNonNull(limits, "limits is null"), requireNonNull(costs, "costs is null"));
    }

    // -- commands: queued requests

    /**
     * Enqueues a request, or refuses it if its deadline has passed or its first token is estimated to come later. While
     * the queue is over its limits, the last request of the customer with the most queued work relative to its weight
     * is refused.
     *
     * @param request the request
     * @param view the estimate of the engine's cache
     * @param nowNanos the current time, in nanoseconds
     * @return the refusals; the request itself is among them unless it is queued now
     */
    public List<AdmissionAction> offer(AdmissionRequest request, CacheView view, long nowNanos) {
        Optional<Refusal> refusal = checkDeadline(request, view, nowNanos);
        if (refusal.isPresent()) {
            return List.of(new AdmissionAction.Refuse(request.id(), refusal.get()));
        }
        add(request, view);
        List<AdmissionAction> refused = new ArrayList<>();
        while (waiting.size() > limits.maxQueued() || waitingBytes > limits.maxQueuedBytes()) {
            refused.add(shedLast(nowNanos));
        }
        return refused;
    }

    /**
     * Dequeues the requests that the engine can accept now.
     *
     * @param view the estimate of the engine's cache
     * @param nowNanos the current time, in nanoseconds
     * @return the requests to forward, in this order
     */
    public List<AdmissionAction> forwardNext(CacheView view, long nowNanos) {
        List<AdmissionAction> forwards = new ArrayList<>();
        Optional<QueuedRequest> next = nextForwardable(view);
        while (next.isPresent()) {
            forwards.add(forward(next.get(), view, nowNanos));
            next = nextForwardable(view);
        }
        // A customer whose start tag is ahead of the virtual time stays, because that tag records its earlier work.
        customers.values().removeIf(queue -> queue.isEmpty() && queue.startTag() <= virtualTime);
        return forwards;
    }

    /**
     * Refuses the queued requests whose deadline has passed.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the refusals
     */
    public List<AdmissionAction> refuseExpired(long nowNanos) {
        List<AttemptId> expired = waiting.values().stream()
                .map(QueuedRequest::request)
                .filter(request -> request.deadlineNanos() - nowNanos < 0)
                .map(AdmissionRequest::id)
                .toList();
        return expired.isEmpty() ? List.of() : refuse(expired, deadlinePassedRefusal(nowNanos));
    }

    private Refusal deadlinePassedRefusal(long nowNanos) {
        return Refusal.notRun(Reason.DEADLINE_PASSED, "the request waited until its deadline passed")
                .withRetryAfter(retryAfter(estimatedWaitNanos(nowNanos)));
    }

    /**
     * Refuses every queued request.
     *
     * @param refusal the refusal of each request
     * @return one action per queued request, in the order of arrival
     */
    public List<AdmissionAction> refuseAll(Refusal refusal) {
        return refuse(List.copyOf(waiting.keySet()), refusal);
    }

    /**
     * Removes a request that is queued or running, without updating the cost model. Does nothing if there is no such
     * request.
     *
     * @param id the attempt's identifier
     */
    public void remove(AttemptId id) {
        Optional.ofNullable(waiting.get(id)).ifPresent(this::dequeue);
        running.remove(id);
    }

    // -- commands: running requests

    /**
     * Records that the engine started the prefill of a request. Does nothing if the request is not at the engine.
     *
     * @param id the attempt's identifier
     * @param cachedBlocks the number of leading blocks that the engine found in its cache
     * @param nowNanos the current time, in nanoseconds
     */
    public void recordPrefillStart(AttemptId id, int cachedBlocks, long nowNanos) {
        running.recordPrefillStart(id, cachedBlocks, nowNanos);
    }

    /**
     * Records the first output token of a request, which marks the end of its prefill. Updates the cost model if the
     * start of the prefill was recorded. Does nothing if the request is not in prefill.
     *
     * @param id the attempt's identifier
     * @param nowNanos the current time, in nanoseconds
     */
    public void recordPrefillEnd(AttemptId id, long nowNanos) {
        running.recordPrefillEnd(id, nowNanos)
                .filter(request -> request.prefillStartNanos() != 0)
                .ifPresent(request ->
                        costs = costs.withPrefill(request.uncachedTokens(), nowNanos - request.prefillStartNanos())
                                .withDelay(
                                        request.uncachedTokens(),
                                        (nowNanos - request.forwardedNanos()) / request.concurrentPrefills()));
    }

    /**
     * Records that a response is complete, which removes the request. Updates the cost model if the end of the prefill
     * was recorded.
     *
     * @param id the attempt's identifier
     * @param tokens the number of output tokens of this attempt
     * @param nowNanos the current time, in nanoseconds
     */
    public void recordCompletion(AttemptId id, int tokens, long nowNanos) {
        running.remove(id)
                .filter(request -> !request.isPrefilling())
                .ifPresent(request -> costs = costs.withDecode(tokens, nowNanos - request.prefillEndNanos()));
    }

    // -- queries

    /**
     * Estimates the queueing delay of a new request whose customer has no queued requests.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the estimated time until the engine starts the request, in nanoseconds
     */
    public long estimatedWaitNanos(long nowNanos) {
        return estimatedWaitNanos(new CustomerQueue(), 0, nowNanos);
    }

    /**
     * Returns the short digests of the blocks that running prefills compute.
     *
     * @return the first half of each block's key
     */
    public Set<Long> pendingShortDigests() {
        return running.pendingShortDigests();
    }

    /**
     * Returns the current cost model of the engine.
     *
     * @return the cost model
     */
    public EngineCostModel costs() {
        return costs;
    }

    /**
     * Returns the number of queued requests.
     *
     * @return 0 up to {@link AdmissionLimits#maxQueued}
     */
    public int waiting() {
        return waiting.size();
    }

    /**
     * Returns the number of requests at the engine.
     *
     * @return 0 up to {@link AdmissionLimits#maxRunning}
     */
    public int running() {
        return running.size();
    }

    // -- deadlines

    private Optional<Refusal> checkDeadline(AdmissionRequest request, CacheView view, long nowNanos) {
        long remainingNanos = request.deadlineNanos() - nowNanos;
        if (remainingNanos <= 0) {
            return Optional.of(Refusal.notRun(Reason.DEADLINE_PASSED, "the deadline passed before the request came"));
        }
        CustomerQueue queue = customers.getOrDefault(request.customer(), new CustomerQueue());
        long waitNanos = estimatedWaitNanos(queue, request.priority(), nowNanos);
        long prefillNanos = costs.prefillNanos(request.uncachedTokens(view.cachedBlocks(request.blocks())));
        // A prefill that alone exceeds the deadline is not counted, so that an idle engine still gets the request.
        long firstTokenNanos = prefillNanos < remainingNanos ? waitNanos + prefillNanos : waitNanos;
        return firstTokenNanos <= remainingNanos
                ? Optional.empty()
                : Optional.of(
                        Refusal.notRun(Reason.DEADLINE_UNREACHABLE, "the estimated time to the first token is too long")
                                .withRetryAfter(retryAfter(firstTokenNanos - remainingNanos)));
    }

    /**
     * Estimates the queueing delay of a new request, in nanoseconds: the remaining time of the running prefills, and
     * the time by which the queued requests that are served before it delay it.
     */
    private long estimatedWaitNanos(CustomerQueue queue, int priority, long nowNanos) {
        double startTag = queue.startTagOf(priority, virtualTime);
        double othersNanos = customers.values().stream()
                .filter(other -> other != queue)
                .mapToDouble(other -> other.nanosBefore(startTag))
                .sum();
        return running.remainingPrefillNanos(costs, nowNanos) + (long) (queue.nanosAhead(priority) + othersNanos);
    }

    private static Duration retryAfter(long nanos) {
        Duration delay = Duration.ofNanos(nanos);
        return delay.compareTo(Refusal.MIN_RETRY_AFTER) > 0 ? delay : Refusal.MIN_RETRY_AFTER;
    }

    // -- fair queueing

    private void add(AdmissionRequest request, CacheView view) {
        long uncachedTokens = request.uncachedTokens(view.cachedBlocks(request.blocks()));
        QueuedRequest added = new QueuedRequest(
                request, arrivals++, cost(request, uncachedTokens), costs.occupiedNanos(uncachedTokens));
        customers
                .computeIfAbsent(request.customer(), name -> new CustomerQueue())
                .add(added, virtualTime);
        waiting.put(request.id(), added);
        waitingBytes += request.bytes();
    }

    /**
     * Returns the work charged to the customer, in nanoseconds of engine time: the prefill, and the decode divided by
     * the maximum number of requests that run at once.
     */
    private double cost(AdmissionRequest request, long uncachedTokens) {
        return costs.prefillNanos(uncachedTokens)
                + (double) costs.decodeNanos(request.maxTokens()) / limits.maxRunning();
    }

    private Optional<QueuedRequest> nextForwardable(CacheView view) {
        if (running.prefills() >= limits.maxPrefills() || running.size() >= limits.maxRunning()) {
            return Optional.empty();
        }
        return customers.values().stream()
                .sorted(Comparator.comparingDouble(CustomerQueue::startTag))
                .flatMap(queue -> queue.first(queued -> !isNextBlockPending(queued.request(), view)).stream())
                .findFirst();
    }

    private boolean isNextBlockPending(AdmissionRequest request, CacheView view) {
        return request.blocks().stream()
                .skip(view.cachedBlocks(request.blocks()))
                .findFirst()
                .filter(block -> running.isPending(block.key()))
                .isPresent();
    }

    private AdmissionAction forward(QueuedRequest next, CacheView view, long nowNanos) {
        AdmissionRequest request = next.request();
        dequeue(next);
        CustomerQueue queue = customers.get(request.customer());
        int cachedBlocks = view.cachedBlocks(request.blocks());
        virtualTime = Math.max(virtualTime, queue.startTag());
        queue.charge(cost(request, request.uncachedTokens(cachedBlocks)));
        running.add(request, cachedBlocks, nowNanos);
        return new AdmissionAction.Forward(request.id());
    }

    private AdmissionAction shedLast(long nowNanos) {
        QueuedRequest last = customers.values().stream()
                .filter(queue -> !queue.isEmpty())
                .max(Comparator.comparingDouble(CustomerQueue::costPerWeight))
                .flatMap(CustomerQueue::last)
                .orElseThrow();
        dequeue(last);
        return new AdmissionAction.Refuse(
                last.request().id(),
                Refusal.notRun(Reason.QUEUE_FULL, "the sidecar's queue is full")
                        .withRetryAfter(retryAfter(estimatedWaitNanos(nowNanos))));
    }

    private List<AdmissionAction> refuse(List<AttemptId> ids, Refusal refusal) {
        ids.forEach(id -> dequeue(waiting.get(id)));
        return ids.stream()
                .<AdmissionAction>map(id -> new AdmissionAction.Refuse(id, refusal))
                .toList();
    }

    private void dequeue(QueuedRequest dequeued) {
        waiting.remove(dequeued.request().id());
        waitingBytes -= dequeued.request().bytes();
        customers.get(dequeued.request().customer()).remove(dequeued);
    }
}
