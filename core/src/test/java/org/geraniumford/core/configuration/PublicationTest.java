package org.geraniumford.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.geraniumford.core.store.FaultyStore;
import org.geraniumford.core.store.FaultyStore.Fault;
import org.geraniumford.core.store.StoreRequest;
import org.geraniumford.core.store.TableRow;
import org.geraniumford.core.verdict.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a publication that is applied twice or in part, or whose operator gets a false outcome, when requests
 * to the store fail, another operator publishes at the same time, or the operator's command crashes.
 */
final class PublicationTest {
    /** The number of steps, from the first, at which a first fault, another publication or a crash is injected. */
    private static final int STEPS = 10;

    private static final String OWN_COMMIT_ID = "commit-mine";
    private static final List<ConfigurationFile> BASE = files("rank = 1");
    private static final List<ConfigurationFile> OWN_FOLDER = files("rank = 2");
    private static final List<ConfigurationFile> OTHER_FOLDER =
            List.of(BASE.get(0), ConfigurationFile.of("20-theirs.ini", "[class b]\nrank = 3\n"));

    // -- without faults

    @Test
    void shouldIncrementTheVersionWhenFoldersArePublishedInSequence() {
        Run run = new Run();
        assertThat(run.publish(BASE, "c1")).isEqualTo(new Publication.Outcome.Applied(1));
        assertThat(run.publish(OWN_FOLDER, "c2")).isEqualTo(new Publication.Outcome.Applied(2));
        assertThat(run.publish(OWN_FOLDER, "c3")).isEqualTo(new Publication.Outcome.Unchanged(2));
        assertThat(run.head().commitId()).isEqualTo("c2");
    }

    @Test
    void shouldReturnTheFilesThatDifferWhenTheFolderWasEditedFromAnOlderVersion() {
        Run run = new Run();
        run.publish(BASE, "c1");
        run.publish(OTHER_FOLDER, "c2");
        Publication.Change stale = new Publication.Change(OWN_FOLDER, Optional.of(1L), OWN_COMMIT_ID);
        assertThat(run.runToEnd(Publication.start(stale)))
                .isEqualTo(
                        new Publication.Outcome.Conflicted(2, new TreeSet<>(List.of("10-house.ini", "20-theirs.ini"))));
    }

    @Test
    void shouldWriteNoHeadRowWhenTheFolderIsInvalid() {
        Run run = new Run();
        assertThat(run.publish(files("rank = x"), OWN_COMMIT_ID)).isInstanceOf(Publication.Outcome.Rejected.class);
        assertThat(run.store.row(ConfigurationHead.TABLE, ConfigurationHead.ROW))
                .isEmpty();
    }

    @Test
    void shouldPublishADeltaFromThePreviousVersionWhenAFolderIsPublished() {
        Run run = new Run();
        run.publish(BASE, "c1");
        String before = run.store.object(run.head().digest()).orElseThrow();
        run.publish(OTHER_FOLDER, "c2");
        IniDelta delta = run.store
                .object(run.head().deltaDigest())
                .flatMap(IniDelta::decode)
                .orElseThrow();
        assertThat(Sha256.hex(delta.applyTo(before))).isEqualTo(run.head().digest());
    }

    // -- fault table: one or two faults at any steps, with and without a concurrent publication or a crash

    static Stream<Arguments> faults() {
        return IntStream.range(0, STEPS)
                .boxed()
                .flatMap(step -> Arrays.stream(Fault.values()).map(fault -> Arguments.of(step, fault)));
    }

    private static Stream<Map<Integer, Fault>> withSecondFault(int step, Fault fault) {
        return IntStream.rangeClosed(step + 1, STEPS)
                .boxed()
                .flatMap(second -> Arrays.stream(Fault.values()).map(other -> Map.of(step, fault, second, other)));
    }

    private static Stream<Map<Integer, Fault>> withSecondFaultAtNextStep(int step, Fault fault) {
        return withSecondFault(step, fault).filter(faults -> faults.containsKey(step + 1));
    }

    private static Run runWith(Map<Integer, Fault> faults) {
        Run run = new Run();
        run.publish(BASE, "c1");
        run.injectFaults(faults);
        return run;
    }

    @ParameterizedTest
    @MethodSource("faults")
    void shouldReturnTheTrueOutcomeWhenTwoRequestsFail(int step, Fault fault) {
        assertThat(withSecondFault(step, fault)).allSatisfy(faults -> {
            Run run = runWith(faults);
            Publication.Outcome outcome = run.publish(OWN_FOLDER, OWN_COMMIT_ID);
            run.store.deliverDelayed();
            run.check(outcome);
            assertThat(outcome).isEqualTo(new Publication.Outcome.Applied(2));
        });
    }

    @ParameterizedTest
    @MethodSource("faults")
    void shouldReturnTheTrueOutcomeWhenAnotherOperatorPublishesAtAnyStep(int step, Fault fault) {
        assertThat(withSecondFaultAtNextStep(step, fault))
                .allSatisfy(faults -> IntStream.range(0, STEPS).forEach(concurrentStep -> {
                    Run run = runWith(faults);
                    run.publishConcurrentlyAt(concurrentStep);
                    Publication.Outcome outcome = run.publish(OWN_FOLDER, OWN_COMMIT_ID);
                    run.store.deliverDelayed();
                    run.check(outcome);
                }));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void shouldApplyTheWholeFolderOrNothingWhenTheOperatorCrashesAtAnyStep(int step, Fault fault) {
        assertThat(withSecondFaultAtNextStep(step, fault))
                .allSatisfy(faults -> IntStream.range(0, STEPS).forEach(crashStep -> {
                    Run run = runWith(faults);
                    run.crashAt(crashStep);
                    run.publish(OWN_FOLDER, OWN_COMMIT_ID);
                    run.store.deliverDelayed();
                    run.checkConsistent();
                    run.clearInjections();
                    long before = run.head().version();
                    assertThat(run.publish(OTHER_FOLDER, "c9")).isEqualTo(new Publication.Outcome.Applied(before + 1));
                    run.checkConsistent();
                }));
    }

    @ParameterizedTest
    @MethodSource("lastingFaults")
    void shouldReturnNotRunOnlyIfNothingIsAppliedWhenTheStoreStaysUnavailable(int from, Fault fault) {
        Run run = new Run();
        run.publish(BASE, "c1");
        run.injectFaults(
                IntStream.range(from, from + 100).boxed().collect(Collectors.toMap(step -> step, step -> fault)));
        Publication.Outcome outcome = run.publish(OWN_FOLDER, OWN_COMMIT_ID);
        run.store.deliverDelayed();
        run.check(outcome);
        assertThat(outcome).isInstanceOf(Publication.Outcome.Failed.class);
    }

    static Stream<Arguments> lastingFaults() {
        return IntStream.range(0, 8)
                .boxed()
                .flatMap(step -> Arrays.stream(Fault.values())
                        .filter(fault -> fault != Fault.NONE)
                        .map(fault -> Arguments.of(step, fault)));
    }

    // -- harness

    private static List<ConfigurationFile> files(String line) {
        return List.of(ConfigurationFile.of("10-house.ini", "[class a]\n" + line + "\n"));
    }

    /** A store and the publications to it, with faults, a concurrent publication or a crash at given steps. */
    private static final class Run {
        private final FaultyStore store = new FaultyStore();
        private Map<Integer, Fault> faults = new HashMap<>();
        private int concurrentPublishStep = -1;
        private int crashStep = -1;
        private int step;

        void injectFaults(Map<Integer, Fault> faultsByStep) {
            faults = faultsByStep;
            step = 0;
        }

        void publishConcurrentlyAt(int atStep) {
            concurrentPublishStep = atStep;
        }

        void crashAt(int atStep) {
            crashStep = atStep;
        }

        void clearInjections() {
            faults = Map.of();
            concurrentPublishStep = -1;
            crashStep = -1;
        }

        Publication.Outcome publish(List<ConfigurationFile> files, String commitId) {
            return runToEnd(Publication.start(new Publication.Change(files, Optional.empty(), commitId)));
        }

        /** Returns the outcome of a publication, or null if the operator crashed before it ended. */
        Publication.Outcome runToEnd(Publication.Step start) {
            Publication.Step current = start;
            while (!(current.action() instanceof Publication.Action.Finish)) {
                if (step == crashStep) {
                    return null;
                }
                if (step == concurrentPublishStep) {
                    concurrentPublishStep = -1;
                    publishConcurrently();
                }
                current = current.next()
                        .handleResponse(
                                store.perform(request(current.action()), faults.getOrDefault(step, Fault.NONE)));
                step++;
            }
            return ((Publication.Action.Finish) current.action()).outcome();
        }

        private void publishConcurrently() {
            Publication.Step current =
                    Publication.start(new Publication.Change(OTHER_FOLDER, Optional.empty(), "commit-theirs"));
            while (!(current.action() instanceof Publication.Action.Finish)) {
                current = current.next().handleResponse(store.perform(request(current.action()), Fault.NONE));
            }
        }

        private static StoreRequest request(Publication.Action action) {
            return action instanceof Publication.Action.RetryRequest retry
                    ? retry.request()
                    : ((Publication.Action.SendRequest) action).request();
        }

        ConfigurationHead head() {
            return store.row(ConfigurationHead.TABLE, ConfigurationHead.ROW)
                    .map(TableRow::value)
                    .flatMap(ConfigurationHead::decode)
                    .orElseThrow();
        }

        /**
         * Checks the stored data, and that the outcome agrees with the history, which has the own commit at most once.
         */
        void check(Publication.Outcome outcome) {
            long ownCommits = commits().filter(OWN_COMMIT_ID::equals).count();
            assertThat(ownCommits).isLessThanOrEqualTo(1);
            if (outcome instanceof Publication.Outcome.Applied) {
                assertThat(ownCommits).isEqualTo(1);
            } else if (!(outcome instanceof Publication.Outcome.Failed failed
                    && failed.refusal().verdict() == Verdict.MAY_HAVE_RUN)) {
                assertThat(ownCommits).isZero();
            }
            checkConsistent();
        }

        /** Checks that the head's text and manifest are stored and that the history has a row for each version. */
        void checkConsistent() {
            ConfigurationHead head = head();
            assertThat(store.object(head.digest()).map(Sha256::hex)).contains(head.digest());
            assertThat(store.object(head.manifestDigest())).isPresent();
            assertThat(commits().count()).isEqualTo(head.version());
        }

        private Stream<String> commits() {
            return IntStream.rangeClosed(1, (int) head().version())
                    .mapToObj(ConfigurationHead::historyRowName)
                    .flatMap(row -> store.row(ConfigurationHead.TABLE, row).stream())
                    .flatMap(row -> ConfigurationHead.decode(row.value()).stream())
                    .map(ConfigurationHead::commitId);
        }
    }
}
