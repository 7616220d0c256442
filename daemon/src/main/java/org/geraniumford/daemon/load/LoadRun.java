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

/**
 * Sends a trace at its own pace, whether or not earlier requests are answered. Times count from the intended sending,
 * so that a late sender hides no wait. A refused request is not sent again.
 */
public final class LoadRun {
    private static final int REQUEST_TIMEOUT_SECONDS = 60;
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
    private final AtomicInteger refused = new AtomicInteger();
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
     * Sends every request and waits for all answers.
     *
     * @param scenario what is sent
     * @param target where to
     * @param trace the arrivals
     * @param progress gets a line each second
     * @return the outcome of each arrival, in the order of the trace
     * @throws InterruptedException if the thread is interrupted
     */
    public static List<Outcome> run(
            Scenario scenario, LoadTarget target, List<Arrival> trace, Consumer<String> progress)
            throws InterruptedException {
        return new LoadRun(scenario, target, trace, progress).run();
    }

    private List<Outcome> run() throws InterruptedException {
        trace.forEach(texts::levelTexts);
        try (Closer closer = Closer.empty()) {
            AsyncHttpClient client = closer.add(newClient());
            ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
            closer.add(timer::shutdownNow);
            long start = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_DELAY_MILLIS);
            for (int i = 0; i < trace.size(); i++) {
                schedule(client, timer, i, start);
            }
            timer.scheduleAtFixedRate(() -> reportProgress(start), 1, 1, TimeUnit.SECONDS);
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
                .setRequestTimeout(java.time.Duration.ofSeconds(REQUEST_TIMEOUT_SECONDS))
                .setReadTimeout(java.time.Duration.ofSeconds(REQUEST_TIMEOUT_SECONDS)));
    }

    private void schedule(AsyncHttpClient client, ScheduledExecutorService timer, int number, long start) {
        double nanos = TimeUnit.MICROSECONDS.toNanos(trace.get(number).atMicros())
                / scenario.traffic().timeScale();
        long intended = start + Math.round(nanos);
        timer.schedule(() -> send(client, number, intended), intended - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    private void send(AsyncHttpClient client, int number, long intended) {
        Arrival arrival = trace.get(number);
        ResponseReader reader = new ResponseReader(arrival.customer(), () -> scaledMicrosSince(intended));
        sent.incrementAndGet();
        CompletableFuture<Outcome> answer;
        try {
            answer = client.executeRequest(request(arrival, number), reader).toCompletableFuture();
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(new CompletionException(e));
        }
        answer.whenComplete((outcome, failure) ->
                recordOutcome(number, failure == null ? outcome : failedOutcome(reader, failure)));
    }

    private static Outcome failedOutcome(ResponseReader reader, Throwable failure) {
        Outcome known = reader.outcome();
        if (known.isComplete()) {
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
        (outcome.isComplete() ? completed : refused).incrementAndGet();
        pendingRequests.countDown();
    }

    private void reportProgress(long start) {
        progress.accept("progress second=%d sent=%d of=%d completed=%d refused=%d"
                .formatted(
                        TimeUnit.MICROSECONDS.toSeconds(scaledMicrosSince(start)),
                        sent.get(),
                        trace.size(),
                        completed.get(),
                        refused.get()));
    }

    private long scaledMicrosSince(long sinceNanos) {
        double micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sinceNanos);
        return Math.round(micros * scenario.traffic().timeScale());
    }

    private record NumberedOutcome(int number, Outcome outcome) {}
}
