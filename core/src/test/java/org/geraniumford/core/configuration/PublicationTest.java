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

final class PublicationTest {
    private static final int STEPS = 10;
    private static final String MY_COMMIT_ID = "commit-mine";
    private static final List<ConfigurationFile> BASE = files("rank = 1");
    private static final List<ConfigurationFile> MY_FOLDER = files("rank = 2");
    private static final List<ConfigurationFile> THEIR_FOLDER =
            List.of(BASE.get(0), ConfigurationFile.of("20-theirs.ini", "[class b]\nrank = 3\n"));

    // -- without faults

    @Test
    void shouldCountVersionsUpWhenFoldersArePublishedInTurn() {
        Run run = new Run();
        assertThat(run.publish(BASE, "c1")).isEqualTo(new Publication.Outcome.Applied(1));
        assertThat(run.publish(MY_FOLDER, "c2")).isEqualTo(new Publication.Outcome.Applied(2));
        assertThat(run.publish(MY_FOLDER, "c3")).isEqualTo(new Publication.Outcome.Unchanged(2));
        assertThat(run.head().commitId()).isEqualTo("c2");
    }

    @Test
    void shouldNameTheFilesThatDifferWhenTheFolderWasEditedFromAnOlderVersion() {
        Run run = new Run();
        run.publish(BASE, "c1");
        run.publish(THEIR_FOLDER, "c2");
        Publication.Change stale = new Publication.Change(MY_FOLDER, Optional.of(1L), MY_COMMIT_ID);
        assertThat(run.drive(Publication.start(stale)))
                .isEqualTo(
                        new Publication.Outcome.Conflicted(2, new TreeSet<>(List.of("10-house.ini", "20-theirs.ini"))));
    }

    @Test
    void shouldWriteNothingWhenTheFolderIsBroken() {
        Run run = new Run();
        assertThat(run.publish(files("rank = x"), MY_COMMIT_ID)).isInstanceOf(Publication.Outcome.Rejected.class);
        assertThat(run.store.row(ConfigurationHead.TABLE, ConfigurationHead.ROW))
                .isEmpty();
    }

    @Test
    void shouldPublishADeltaThatLeadsFromTheVersionBeforeToTheNewOne() {
        Run run = new Run();
        run.publish(BASE, "c1");
        String before = run.store.object(run.head().digest()).orElseThrow();
        run.publish(THEIR_FOLDER, "c2");
        IniDelta delta = run.store
                .object(run.head().deltaDigest())
                .flatMap(IniDelta::decode)
                .orElseThrow();
        assertThat(Sha256.hex(delta.applyTo(before))).isEqualTo(run.head().digest());
    }

    // -- fault table: every step, alone, twice and in pairs, with and without a racing operator

    static Stream<Arguments> faults() {
        return IntStream.range(0, STEPS)
                .boxed()
                .flatMap(step -> Arrays.stream(Fault.values()).map(fault -> Arguments.of(step, fault)));
    }

    private static Stream<Map<Integer, Fault>> withAnother(int step, Fault fault) {
        return IntStream.rangeClosed(step + 1, STEPS)
                .boxed()
                .flatMap(second -> Arrays.stream(Fault.values()).map(other -> Map.of(step, fault, second, other)));
    }

    private static Stream<Map<Integer, Fault>> withANeighbour(int step, Fault fault) {
        return withAnother(step, fault).filter(faults -> faults.containsKey(step + 1));
    }

    private static Run runWith(Map<Integer, Fault> faults) {
        Run run = new Run();
        run.publish(BASE, "c1");
        run.injectFaults(faults);
        return run;
    }

    @ParameterizedTest
    @MethodSource("faults")
    void shouldTellTheTruthWhenTwoRequestsFail(int step, Fault fault) {
        assertThat(withAnother(step, fault)).allSatisfy(faults -> {
            Run run = runWith(faults);
            Publication.Outcome outcome = run.publish(MY_FOLDER, MY_COMMIT_ID);
            run.store.deliverDelayed();
            run.check(outcome);
            assertThat(outcome).isEqualTo(new Publication.Outcome.Applied(2));
        });
    }

    @ParameterizedTest
    @MethodSource("faults")
    void shouldLetOneOperatorWinWhenAnotherPublishesAtAnyStep(int step, Fault fault) {
        assertThat(withANeighbour(step, fault))
                .allSatisfy(faults -> IntStream.range(0, STEPS).forEach(race -> {
                    Run run = runWith(faults);
                    run.publishConcurrentlyAt(race);
                    Publication.Outcome outcome = run.publish(MY_FOLDER, MY_COMMIT_ID);
                    run.store.deliverDelayed();
                    run.check(outcome);
                }));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void shouldBeInForceWholeOrNotAtAllWhenTheOperatorCrashesAtAnyStep(int step, Fault fault) {
        assertThat(withANeighbour(step, fault))
                .allSatisfy(faults -> IntStream.range(0, STEPS).forEach(crash -> {
                    Run run = runWith(faults);
                    run.crashAt(crash);
                    run.publish(MY_FOLDER, MY_COMMIT_ID);
                    run.store.deliverDelayed();
                    run.checkConsistent();
                    run.reset();
                    long before = run.head().version();
                    assertThat(run.publish(THEIR_FOLDER, "c9")).isEqualTo(new Publication.Outcome.Applied(before + 1));
                    run.checkConsistent();
                }));
    }

    @ParameterizedTest
    @MethodSource("lastingFaults")
    void shouldSayNotRunOnlyWhenNothingIsAppliedIfTheStoreStaysAway(int from, Fault fault) {
        Run run = new Run();
        run.publish(BASE, "c1");
        run.injectFaults(
                IntStream.range(from, from + 100).boxed().collect(Collectors.toMap(step -> step, step -> fault)));
        Publication.Outcome outcome = run.publish(MY_FOLDER, MY_COMMIT_ID);
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

    private static final class Run {
        private final FaultyStore store = new FaultyStore();
        private Map<Integer, Fault> faults = new HashMap<>();
        private int concurrentPublishStep = -1;
        private int crashStep = -1;
        private int step;

        void injectFaults(Map<Integer, Fault> planned) {
            faults = planned;
            step = 0;
        }

        void publishConcurrentlyAt(int when) {
            concurrentPublishStep = when;
        }

        void crashAt(int when) {
            crashStep = when;
        }

        void reset() {
            faults = Map.of();
            concurrentPublishStep = -1;
            crashStep = -1;
        }

        Publication.Outcome publish(List<ConfigurationFile> files, String commitId) {
            return drive(Publication.start(new Publication.Change(files, Optional.empty(), commitId)));
        }

        Publication.Outcome drive(Publication.Step start) {
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
                    Publication.start(new Publication.Change(THEIR_FOLDER, Optional.empty(), "commit-theirs"));
            while (!(current.action() instanceof Publication.Action.Finish)) {
                current = current.next().handleResponse(store.perform(request(current.action()), Fault.NONE));
            }
        }

        private static StoreRequest request(Publication.Action action) {
            return action instanceof Publication.Action.RetryRequest wait
                    ? wait.request()
                    : ((Publication.Action.SendRequest) action).request();
        }

        ConfigurationHead head() {
            return store.row(ConfigurationHead.TABLE, ConfigurationHead.ROW)
                    .map(TableRow::value)
                    .flatMap(ConfigurationHead::decode)
                    .orElseThrow();
        }

        void check(Publication.Outcome outcome) {
            long mine = commits().filter(MY_COMMIT_ID::equals).count();
            assertThat(mine).isLessThanOrEqualTo(1);
            if (outcome instanceof Publication.Outcome.Applied) {
                assertThat(mine).isEqualTo(1);
            } else if (!(outcome instanceof Publication.Outcome.Failed failed
                    && failed.refusal().verdict() == Verdict.MAY_HAVE_RUN)) {
                assertThat(mine).isZero();
            }
            checkConsistent();
        }

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
