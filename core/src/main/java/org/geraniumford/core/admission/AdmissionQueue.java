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
 * The bounded queue in front of one engine. Customers share the engine by weight (start-time fair queueing over the
 * estimated work); a customer's own requests are served by priority, then arrival. A request whose next piece is being
 * computed waits behind that prefill. One that cannot get its first token in time is refused on arrival. Time is passed
 * in as nanoseconds of a monotonic clock. Not thread-safe.
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
     * @param limits the bounds
     * @param costs what is known of the engine
     * @return a queue in front of an idle engine
     */
    public static AdmissionQueue of(AdmissionLimits limits, EngineCostModel costs) {
        return new AdmissionQueue(requireNonNull(limits, "limits is null"), requireNonNull(costs, "costs is null"));
    }

    // -- commands: waiting

    /**
     * Takes a request in or refuses it. A full queue makes room by refusing the last request of the customer with the
     * most queued work for its share.
     *
     * @param request the request
     * @param view what the engine holds
     * @param now the present time
     * @return the refusals decided; none of the request itself if it waits now
     */
    public List<AdmissionAction> offer(AdmissionRequest request, CacheView view, long now) {
        Optional<Refusal> refusal = checkDeadline(request, view, now);
        if (refusal.isPresent()) {
            return List.of(new AdmissionAction.Refuse(request.id(), refusal.get()));
        }
        add(request, view);
        List<AdmissionAction> refused = new ArrayList<>();
        while (waiting.size() > limits.maxQueued() || waitingBytes > limits.maxQueuedBytes()) {
            refused.add(shedLast(now));
        }
        return refused;
    }

    /**
     * Decides which requests the engine gets now.
     *
     * @param view what the engine holds
     * @param now the present time
     * @return the requests to pass on, in this order
     */
    public List<AdmissionAction> forwardNext(CacheView view, long now) {
        List<AdmissionAction> starts = new ArrayList<>();
        Optional<QueuedRequest> next = next(view);
        while (next.isPresent()) {
            starts.add(forward(next.get(), view, now));
            next = next(view);
        }
        customers.values().removeIf(queue -> queue.isEmpty() && queue.startTag() <= virtualTime);
        return starts;
    }

    /**
     * Refuses the requests whose deadline has passed.
     *
     * @param now the present time
     * @return the refusals
     */
    public List<AdmissionAction> refuseExpired(long now) {
        List<AttemptId> late = waiting.values().stream()
                .map(QueuedRequest::request)
                .filter(request -> request.deadlineNanos() - now < 0)
                .map(AdmissionRequest::id)
                .toList();
        return late.isEmpty() ? List.of() : refuse(late, deadlinePassedRefusal(now));
    }

    private Refusal deadlinePassedRefusal(long now) {
        return Refusal.notRun(Reason.DEADLINE_PASSED, "the request waited until its deadline passed")
                .withRetryAfter(retryAfter(estimatedWaitNanos(now)));
    }

    /**
     * Refuses every request that waits.
     *
     * @param refusal why
     * @return the refusals
     */
    public List<AdmissionAction> refuseAll(Refusal refusal) {
        return refuse(List.copyOf(waiting.keySet()), refusal);
    }

    /**
     * Forgets a request that waits or runs.
     *
     * @param id the attempt
     */
    public void remove(AttemptId id) {
        Optional.ofNullable(waiting.get(id)).ifPresent(this::dequeue);
        running.remove(id);
    }

    // -- commands: running

    /**
     * Learns that the engine began a prefill.
     *
     * @param id the attempt
     * @param cachedPieces how many leading pieces it took from its cache
     * @param now the present time
     */
    public void recordPrefillStart(AttemptId id, int cachedPieces, long now) {
        running.recordPrefillStart(id, cachedPieces, now);
    }

    /**
     * Learns that a prefill ended, from the first answer token.
     *
     * @param id the attempt
     * @param now the present time
     */
    public void recordPrefillEnd(AttemptId id, long now) {
        running.recordPrefillEnd(id, now)
                .filter(run -> run.prefillStartNanos() != 0)
                .ifPresent(run -> costs = costs.withPrefill(run.uncachedTokens(), now - run.prefillStartNanos())
                        .withDelay(run.uncachedTokens(), (now - run.forwardedNanos()) / run.concurrentPrefills()));
    }

    /**
     * Learns that an answer is complete.
     *
     * @param id the attempt
     * @param tokens the number of tokens that this attempt gave
     * @param now the present time
     */
    public void recordCompletion(AttemptId id, int tokens, long now) {
        running.remove(id)
                .filter(run -> !run.isPrefilling())
                .ifPresent(run -> costs = costs.withDecode(tokens, now - run.prefillEndNanos()));
    }

    // -- queries

    /**
     * Estimates the wait of a request of a customer that has none waiting.
     *
     * @param now the present time
     * @return nanoseconds until the engine would begin with it
     */
    public long estimatedWaitNanos(long now) {
        return estimatedWaitNanos(new CustomerQueue(), 0, now);
    }

    /**
     * Returns the short digests of the pieces that are being computed.
     *
     * @return the first half of each piece's key
     */
    public Set<Long> pendingShortDigests() {
        return running.pendingShortDigests();
    }

    /**
     * Returns what is known of the engine.
     *
     * @return the cost model
     */
    public EngineCostModel costs() {
        return costs;
    }

    /**
     * Returns the number of requests that wait.
     *
     * @return 0 up to the limit
     */
    public int waiting() {
        return waiting.size();
    }

    /**
     * Returns the number of requests that the engine holds.
     *
     * @return 0 up to the limit
     */
    public int running() {
        return running.size();
    }

    // -- deadlines

    private Optional<Refusal> checkDeadline(AdmissionRequest request, CacheView view, long now) {
        long left = request.deadlineNanos() - now;
        if (left <= 0) {
            return Optional.of(Refusal.notRun(Reason.DEADLINE_PASSED, "the deadline passed before the request came"));
        }
        CustomerQueue queue = customers.getOrDefault(request.customer(), new CustomerQueue());
        long wait = estimatedWaitNanos(queue, request.priority(), now);
        long prefill = costs.prefillNanos(request.uncachedTokens(view.cachedBlocks(request.blocks())));
        long firstToken = prefill < left ? wait + prefill : wait;
        return firstToken <= left
                ? Optional.empty()
                : Optional.of(
                        Refusal.notRun(Reason.DEADLINE_UNREACHABLE, "the estimated time to the first token is too long")
                                .withRetryAfter(retryAfter(firstToken - left)));
    }

    private long estimatedWaitNanos(CustomerQueue queue, int priority, long now) {
        double tag = queue.startTagOf(priority, virtualTime);
        double others = customers.values().stream()
                .filter(other -> other != queue)
                .mapToDouble(other -> other.nanosBefore(tag))
                .sum();
        return running.remainingPrefillNanos(costs, now) + (long) (queue.nanosAhead(priority) + others);
    }

    private static Duration retryAfter(long nanos) {
        Duration estimate = Duration.ofNanos(nanos);
        return estimate.compareTo(Refusal.MIN_RETRY_AFTER) > 0 ? estimate : Refusal.MIN_RETRY_AFTER;
    }

    // -- the fair order

    private void add(AdmissionRequest request, CacheView view) {
        long missed = request.uncachedTokens(view.cachedBlocks(request.blocks()));
        QueuedRequest added =
                new QueuedRequest(request, arrivals++, cost(request, missed), costs.occupiedNanos(missed));
        customers
                .computeIfAbsent(request.customer(), name -> new CustomerQueue())
                .add(added, virtualTime);
        waiting.put(request.id(), added);
        waitingBytes += request.bytes();
    }

    private double cost(AdmissionRequest request, long missedTokens) {
        return costs.prefillNanos(missedTokens) + (double) costs.decodeNanos(request.maxTokens()) / limits.maxRunning();
    }

    private Optional<QueuedRequest> next(CacheView view) {
        if (running.prefills() >= limits.maxPrefills() || running.size() >= limits.maxRunning()) {
            return Optional.empty();
        }
        return customers.values().stream()
                .sorted(Comparator.comparingDouble(CustomerQueue::startTag))
                .flatMap(queue -> queue.first(next -> !isNextBlockPending(next.request(), view)).stream())
                .findFirst();
    }

    private boolean isNextBlockPending(AdmissionRequest request, CacheView view) {
        return request.blocks().stream()
                .skip(view.cachedBlocks(request.blocks()))
                .findFirst()
                .filter(piece -> running.isPending(piece.key()))
                .isPresent();
    }

    private AdmissionAction forward(QueuedRequest next, CacheView view, long now) {
        AdmissionRequest request = next.request();
        dequeue(next);
        CustomerQueue queue = customers.get(request.customer());
        int cached = view.cachedBlocks(request.blocks());
        virtualTime = Math.max(virtualTime, queue.startTag());
        queue.charge(cost(request, request.uncachedTokens(cached)));
        running.add(request, cached, now);
        return new AdmissionAction.Forward(request.id());
    }

    private AdmissionAction shedLast(long now) {
        QueuedRequest last = customers.values().stream()
                .filter(queue -> !queue.isEmpty())
                .max(Comparator.comparingDouble(CustomerQueue::costPerWeight))
                .flatMap(CustomerQueue::last)
                .orElseThrow();
        dequeue(last);
        return new AdmissionAction.Refuse(
                last.request().id(),
                Refusal.notRun(Reason.QUEUE_FULL, "the sidecar's queue is full")
                        .withRetryAfter(retryAfter(estimatedWaitNanos(now))));
    }

    private List<AdmissionAction> refuse(List<AttemptId> ids, Refusal refusal) {
        ids.forEach(id -> dequeue(waiting.get(id)));
        return ids.stream()
                .<AdmissionAction>map(id -> new AdmissionAction.Refuse(id, refusal))
                .toList();
    }

    private void dequeue(QueuedRequest gone) {
        waiting.remove(gone.request().id());
        waitingBytes -= gone.request().bytes();
        customers.get(gone.request().customer()).remove(gone);
    }
}
