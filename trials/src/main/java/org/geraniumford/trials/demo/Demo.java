package org.geraniumford.trials.demo;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.geraniumford.trials.caller.Caller;
import org.geraniumford.trials.caller.ModelResponse;
import org.geraniumford.trials.deployment.Deployment;
import org.geraniumford.trials.deployment.SmallDeployment;

/** Sends model and service requests to a small deployment and checks the responses. */
public final class Demo {
    private static final int MAX_TOKENS = 24;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int UNAUTHORIZED = 401;
    private static final String PREAMBLE = DemoPrompts.preamble();
    private static final String MEMBER_LIST = DemoPrompts.memberList();

    private final Deployment deployment;
    private final Report report;

    private Demo(Deployment deployment, Report report) {
        this.deployment = deployment;
        this.report = report;
    }

    // -- commands

    /**
     * Runs the demo. The process exits with 0 if every check passes, and with 1 otherwise.
     *
     * @param args the configuration folder, then optionally {@code --keep}, which leaves the deployment running until
     *     the process is interrupted
     * @throws IOException if the folder for settings and logs cannot be created, a process does not start, or the
     *     configuration is not applied
     */
    public static void main(String[] args) throws IOException {
        PrintWriter out = new PrintWriter(new FileOutputStream(FileDescriptor.out), true, StandardCharsets.UTF_8);
        boolean keep = Arrays.asList(args).contains("--keep");
        Path folder = Files.createTempDirectory("geraniumford-demo");
        Report report = new Report(out);
        report.printStep("Starting platform, engines, services, sidecars and entries (logs in " + folder + ")");
        try (Deployment deployment = Deployment.start(SmallDeployment.plan(Path.of(args[0])), folder)) {
            deployment.processes().forEach(process -> report.printLine(process.name()));
            new Demo(deployment, report).run();
            if (keep) {
                keepRunning(deployment, out);
            }
            report.printStep("Stopping in order");
            report.check("every process stopped in order", deployment.stop().isEmpty());
        }
        out.println(report.allPassed() ? "\ndemo: every check held" : "\ndemo: a check FAILED");
        System.exit(report.allPassed() ? 0 : 1);
    }

    private void run() {
        checkPrefixReuse();
        checkCustomerIsolation();
        checkRunnerFailure();
        checkIdempotentCalls();
        checkInvalidKeyRefusal();
    }

    // -- steps

    private void checkPrefixReuse() {
        report.printStep("Two questions on the same roll (house preamble, roll, question)");
        Caller amahoro = caller(0, "amahoro");
        ModelResponse first = send(amahoro, "amahoro, first question", "Who joined in March?");
        ModelResponse second = send(amahoro, "amahoro, second question", "Who moved to Huye?");
        ModelResponse third = send(caller(1, "amahoro"), "amahoro, by the other entry", "Who is in arrears?");
        report.check("answers are whole", first.isComplete() && second.isComplete() && third.isComplete());
        report.check("the first question computes its prefix", first.cachedBlocks() == 0);
        report.check(
                "the second question reuses the shared prefix",
                second.cachedBlocks() >= second.blocks() - 1 && second.cachedBlocks() > 0);
        report.check("the other entry finds it too", third.cachedBlocks() == second.cachedBlocks());
    }

    private void checkCustomerIsolation() {
        report.printStep("Another customer with the identical prompt");
        ModelResponse response = send(caller(0, "rayon"), "rayon, first question", "Who joined in March?");
        report.check("its answer is whole", response.isComplete());
        report.check("it reuses nothing of amahoro's", response.cachedBlocks() == 0);
    }

    private void checkRunnerFailure() {
        report.printStep("The runner that holds the prefix is killed, engine and sidecar");
        Caller amahoro = caller(0, "amahoro");
        String runner = send(amahoro, "amahoro, before", "Who moved to Huye?").backend();
        deployment.engine(runner).kill();
        deployment.process(runner).kill();
        ModelResponse after = send(amahoro, "amahoro, after", "Who moved to Huye?");
        report.check(
                "the answer is whole and comes from another runner",
                after.isComplete() && !after.backend().equals(runner));
    }

    private void checkIdempotentCalls() {
        report.printStep("A ballot sent twice with the same idempotency key");
        Caller bole = caller(0, "bole");
        String ballot = "{\"id\":\"ballot-7\",\"choice\":\"water point\"}";
        HttpResponse<String> first = call(bole, "POST", "/ballots", "resident-7", ballot);
        HttpResponse<String> second = call(bole, "POST", "/ballots", "resident-7", ballot);
        HttpResponse<String> conflicting =
                call(bole, "POST", "/ballots", "resident-7", ballot.replace("water", "clinic"));
        HttpResponse<String> ballotStatus = call(bole, "GET", "/status/ballot-7", "", "");
        HttpResponse<String> executions = call(bole, "GET", "/executions", "", "");
        report.printLine("executions " + executions.body());
        report.check("both callers get the first answer", first.body().equals(second.body()));
        report.check("both were answered with success", first.statusCode() < 300 && second.statusCode() < 300);
        report.check("the same key with another body is a conflict", conflicting.statusCode() == CONFLICT);
        report.check("its status is read freely", ballotStatus.statusCode() == OK);
        report.check("it ran once", executions.body().replace(" ", "").contains("\"ballot-7\":1"));
    }

    private void checkInvalidKeyRefusal() {
        report.printStep("A caller without a valid key");
        ModelResponse response = send(caller(0, "nobody"), "nobody", "Who joined in March?");
        report.check(
                "it is refused as not run",
                response.status() == UNAUTHORIZED && response.verdict().equals("not_run"));
    }

    // -- support

    private ModelResponse send(Caller caller, String label, String question) {
        ModelResponse response = caller.stream("draft", List.of(PREAMBLE, MEMBER_LIST, question), MAX_TOKENS)
                .join();
        report.printResponse(label, response);
        return response;
    }

    private static HttpResponse<String> call(
            Caller caller, String method, String path, String idempotencyKey, String body) {
        return caller.call("ballots", method, path, idempotencyKey, body).join();
    }

    private Caller caller(int entry, String customer) {
        return Caller.of(deployment.entry(entry).address("caller"), "example-key-" + customer);
    }

    private static void keepRunning(Deployment deployment, PrintWriter out) {
        String entry = deployment.entry(0).address("caller");
        String operator = deployment.entry(0).address("operator");
        out.printf("""

                Running until interrupted. Try:
                  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer example-key-amahoro' \\
                    -d '{"model":"draft","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"Muraho"}]}'
                  curl http://%s/status
                  bin/geraniumford status --at %s
                """, entry, operator, operator);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            deployment.stop();
            stopped.countDown();
        }));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
