package org.geraniumford.trials.measure;

import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.geraniumford.daemon.load.Scenario;
import org.geraniumford.transport.log.LogEvent;
import org.geraniumford.trials.deployment.Deployment;

/** Brings about a scenario's faults while it runs. */
final class FaultSchedule implements AutoCloseable {
    private static final double MILLIS = 1000;

    private final Scenario scenario;
    private final Deployment deployment;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);

    private FaultSchedule(Scenario scenario, Deployment deployment) {
        this.scenario = scenario;
        this.deployment = deployment;
    }

    static FaultSchedule start(Scenario scenario, Deployment deployment) {
        FaultSchedule schedule = new FaultSchedule(scenario, deployment);
        scenario.faults().forEach(schedule::schedule);
        return schedule;
    }

    private void schedule(Scenario.Fault fault) {
        after(fault.second(), () -> inject(fault));
    }

    private void after(double seconds, Fault work) {
        long millis = Math.round(seconds * MILLIS / scenario.traffic().timeScale());
        timer.schedule(() -> guarded(work), millis, TimeUnit.MILLISECONDS);
    }

    private static void guarded(Fault work) {
        try {
            work.run();
        } catch (IOException | RuntimeException e) {
            LogEvent.of("fault_failed").error(e);
        }
    }

    // -- faults

    private void inject(Scenario.Fault fault) throws IOException {
        switch (fault.kind()) {
            case ENGINE_CRASH -> crash(fault);
            case EVENT_LOSS -> loseEvents(fault.value());
            case ENTRY_RESTART -> restartEntries();
            case STORE_OUTAGE -> outage(fault.value());
            case DOMAIN_LOSS -> loseDomain(fault.target());
        }
    }

    private void crash(Scenario.Fault fault) throws IOException {
        long down = Math.round(fault.value() / scenario.traffic().timeScale());
        engine(fault.target()).faults("{\"crash\":true,\"down_millis\":" + down + "}");
    }

    private void loseEvents(double fraction) throws IOException {
        for (int i = 0; i < scenario.fleet().runners(); i++) {
            engine(i).faults("{\"event_loss\":" + fraction + "}");
        }
    }

    private void restartEntries() throws IOException {
        IntStream.range(0, scenario.fleet().entries())
                .forEach(entry -> deployment.entry(entry).kill());
        for (int i = 0; i < scenario.fleet().entries(); i++) {
            deployment.restartEntry(i);
        }
    }

    private void outage(double seconds) throws IOException {
        deployment.platform().faults("{\"outage\":true}");
        after(seconds, () -> deployment.platform().faults("{\"outage\":false}"));
    }

    private void loseDomain(int domain) {
        IntStream.range(0, scenario.fleet().runners())
                .filter(runner -> runner % scenario.fleet().failureDomains() == domain)
                .mapToObj(Measurement::runnerName)
                .forEach(runner -> {
                    deployment.node(runner).kill();
                    deployment.engine(runner).kill();
                });
    }

    private EngineControl engine(int number) {
        return Measurement.engine(deployment, number);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    /** Something to bring about. */
    private interface Fault {
        void run() throws IOException;
    }
}
