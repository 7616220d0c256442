package org.geraniumford.daemon.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Request;
import org.geraniumford.core.close.Closer;
import org.geraniumford.transport.response.StrictClientCodec;

/**
 * Sends the requests of a trace on their schedule, whether or not earlier requests have completed. Times count from the
 * scheduled time, so that they include the delay of a request that is sent late. A refused or failed request is not
 * retried.
 */
public final class LoadRun {
    /** The longest time of a request, in seconds of real time. */
    private static final int REQUEST_TIMEOUT_SECONDS = 60;
    /** The time before the start of the run, in which the requests are scheduled; in milliseconds of real time. */
    private static final long START_DELAY_MILLIS = 200;

    private static final int MAX_CLIENT_RETRIES = 0;

    private final Scenario scenario;
    private final LoadTarget target;
    private final List<Arrival> trace;
    private final Consumer<String> progress;
    private final PromptTexts texts = new PromptTexts();
    private final Map<Integer, Outcome> outcomes = new HashMap<>();
    private final ConcurrentLinkedQueue<NumberedOutcome> finished = new ConcurrentLinkedQueue<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger completed = new AtomicInteger();
    private final AtomicInteger notCompleted = new AtomicInteger();
    private final CountDownLatch pendingRequests;

    private LoadRun(Scenario scenario, LoadTarget target, List<Arrival> trace, Consumer<String> progress) {
        this.scenario = scenario;
        this.target = target;
        this.trace = trace;
        this.progress = progress;
        this.pendingRequests = new CountDownLatch(trace.size());
    }

    // -- commands

    /**
     * Sends every request and waits until each has an outcome.
     *
     * @param scenario the scenario that the trace was generated from
     * @param target the entries that receive the requests
     * @param trace the arrivals
     * @param progress receives a line of progress each second of real time
     * @return the outcome of each arrival, in the order of the trace
     * @throws InterruptedException if the thread is interrupted
     */
    public static List<Outcome> run(
            Scenario scenario, LoadTarget target, List<Arrival> trace, Consumer<String> progress)
            throws InterruptedException {
        return new LoadRun(scenario, target, trace, progress).run();
    }

    private List<Outcome> run() throws InterruptedException {
        // Generates the texts before the run, so that their generation delays no request.
        trace.forEach(texts::levelTexts);
        try (Closer closer = Closer.empty()) {
            AsyncHttpClient client = closer.add(newClient());
            ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
            closer.add(timer::shutdownNow);
            long startNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_DELAY_MILLIS);
            for (int i = 0; i < trace.size(); i++) {
                schedule(client, timer, i, startNanos);
            }
            timer.scheduleAtFixedRate(() -> reportProgress(startNanos), 1, 1, TimeUnit.SECONDS);
            pendingRequests.await();
        }
        finished.forEach(numbered -> outcomes.put(numbered.number, numbered.outcome));
        return java.util.stream.IntStream.range(0, trace.size())
                .mapToObj(outcomes::get)
                .toList();
    }

    private static AsyncHttpClient newClient() {
        return Dsl.asyncHttpClient(Dsl.config()
                .setMaxRequestRetry(MAX_CLIENT_RETRIES)
                .setHttpAdditionalChannelInitializer(StrictClientCodec::install)
                .setRequestTimeout(java.time.Duration.ofSeconds(REQUEST_TIMEOUT_SECONDS))
                .setReadTimeout(java.time.Duration.ofSeconds(REQUEST_TIMEOUT_SECONDS)));
    }

    private void schedule(AsyncHttpClient client, ScheduledExecutorService timer, int number, long startNanos) {
        double delayNanos = TimeUnit.MICROSECONDS.toNanos(trace.get(number).atMicros())
                / scenario.traffic().timeScale();
        long scheduledNanos = startNanos + Math.round(delayNanos);
        timer.schedule(
                () -> send(client, number, scheduledNanos), scheduledNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    private void send(AsyncHttpClient client, int number, long scheduledNanos) {
        Arrival arrival = trace.get(number);
        ResponseReader reader = new ResponseReader(arrival.customer(), () -> scaledMicrosSince(scheduledNanos));
        sent.incrementAndGet();
        CompletableFuture<Outcome> pendingOutcome;
        try {
            pendingOutcome =
                    client.executeRequest(request(arrival, number), reader).toCompletableFuture();
        } catch (RuntimeException e) {
            pendingOutcome = CompletableFuture.failedFuture(new CompletionException(e));
        }
        pendingOutcome.whenComplete((outcome, failure) ->
                recordOutcome(number, failure == null ? outcome : failedOutcome(reader, failure)));
    }

    /**
     * Returns the outcome of a failed request. Its reason is the failure's class name, unless the reader has a reason
     * already.
     */
    private static Outcome failedOutcome(ResponseReader reader, Throwable failure) {
        Outcome outcome = reader.outcome();
        if (outcome.isComplete()) {
            reader.onThrowable(failure);
        }
        return reader.outcome();
    }

    private Request request(Arrival arrival, int number) {
        String customer = scenario.customerNames().get(arrival.customer());
        String body = ChatBody.json(scenario.traffic(), texts.levelTexts(arrival));
        return Dsl.post(target.entry(number).resolve("/v1/chat/completions").toString())
                .setHeader("Authorization", "Bearer " + LoadTarget.apiKey(customer))
                .setHeader("Content-Type", "application/json")
                .setBody(body)
                .build();
    }

    private void recordOutcome(int number, Outcome outcome) {
        finished.add(new NumberedOutcome(number, outcome));
        (outcome.isComplete() ? completed : notCompleted).incrementAndGet();
        pendingRequests.countDown();
    }

    private void reportProgress(long startNanos) {
        progress.accept("progress second=%d sent=%d of=%d completed=%d refused=%d"
                .formatted(
                        TimeUnit.MICROSECONDS.toSeconds(scaledMicrosSince(startNanos)),
                        sent.get(),
                        trace.size(),
                        completed.get(),
                        notCompleted.get()));
    }

    /** Returns the time since a value of {@link System#nanoTime}, in microseconds of the modelled deployment. */
    private long scaledMicrosSince(long sinceNanos) {
        double micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sinceNanos);
        return Math.round(micros * scenario.traffic().timeScale());
    }

    private record NumberedOutcome(int number, Outcome outcome) {}
}
