package org.geraniumford.trials.measure;

import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.geraniumford.daemon.load.Scenario;
import org.geraniumford.transport.log.LogEvent;
import org.geraniumford.trials.deployment.Deployment;

/** Injects the faults of a scenario at their times while the scenario runs. Failed injections are logged. */
final class FaultInjector implements AutoCloseable {
    private static final double MILLIS_PER_SECOND = 1000;

    private final Scenario scenario;
    private final Deployment deployment;
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);

    private FaultInjector(Scenario scenario, Deployment deployment) {
        this.scenario = scenario;
        this.deployment = deployment;
    }

    /**
     * Schedules the faults of a scenario; their times count from this call.
     *
     * @param scenario the scenario, whose times are divided by its time scale
     * @param deployment the deployment in which to inject the faults
     * @return the injector; closing it cancels the faults that are still to come
     */
    static FaultInjector start(Scenario scenario, Deployment deployment) {
        FaultInjector injector = new FaultInjector(scenario, deployment);
        scenario.faults().forEach(injector::schedule);
        return injector;
    }

    private void schedule(Scenario.Fault fault) {
        scheduleAfter(fault.atSecond(), () -> inject(fault));
    }

    private void scheduleAfter(double seconds, FaultAction action) {
        long millis =
                Math.round(seconds * MILLIS_PER_SECOND / scenario.traffic().timeScale());
        scheduler.schedule(() -> runLoggingFailure(action), millis, TimeUnit.MILLISECONDS);
    }

    private static void runLoggingFailure(FaultAction action) {
        try {
            action.run();
        } catch (IOException | RuntimeException e) {
            LogEvent.of("fault_failed").error(e);
        }
    }

    // -- faults

    private void inject(Scenario.Fault fault) throws IOException {
        switch (fault.kind()) {
            case ENGINE_CRASH -> crashEngine(fault);
            case EVENT_LOSS -> setEventLoss(fault.value());
            case ENTRY_RESTART -> restartEntries();
            case STORE_OUTAGE -> startStoreOutage(fault.value());
            case DOMAIN_LOSS -> killFailureDomain(fault.target());
        }
    }

    private void crashEngine(Scenario.Fault fault) throws IOException {
        long downMillis = Math.round(fault.value() / scenario.traffic().timeScale());
        engineAdmin(fault.target()).setFaults("{\"crash\":true,\"down_millis\":" + downMillis + "}");
    }

    private void setEventLoss(double fraction) throws IOException {
        for (int i = 0; i < scenario.fleet().runners(); i++) {
            engineAdmin(i).setFaults("{\"event_loss\":" + fraction + "}");
        }
    }

    private void restartEntries() throws IOException {
        IntStream.range(0, scenario.fleet().entries())
                .forEach(entry -> deployment.entry(entry).kill());
        for (int i = 0; i < scenario.fleet().entries(); i++) {
            deployment.restartEntry(i);
        }
    }

    private void startStoreOutage(double seconds) throws IOException {
        deployment.platformAdmin().setFaults("{\"outage\":true}");
        scheduleAfter(seconds, () -> deployment.platformAdmin().setFaults("{\"outage\":false}"));
    }

    private void killFailureDomain(int domain) {
        IntStream.range(0, scenario.fleet().runners())
                .filter(runner -> runner % scenario.fleet().failureDomains() == domain)
                .mapToObj(Measurement::runnerName)
                .forEach(runner -> {
                    deployment.process(runner).kill();
                    deployment.engine(runner).kill();
                });
    }

    private EngineAdminClient engineAdmin(int number) {
        return Measurement.engineAdmin(deployment, number);
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }

    /** Injects or ends a fault. */
    private interface FaultAction {
        void run() throws IOException;
    }
}
