package org.geraniumford.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.geraniumford.core.configuration.Model;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.membership.HostKind;
import org.geraniumford.core.membership.HostState;
import org.junit.jupiter.api.Test;

final class ModelAssignmentTest {
    /** Models without a configured number of runners. */
    private static final List<Model> MODELS_SHARING_RUNNERS = List.of(model("civic", 1, 0), model("draft", 1, 0));

    /** Models of which only "civic" has a configured number of runners, 3. */
    private static final List<Model> MODELS_WITH_FIXED_CIVIC = List.of(model("civic", 1, 3), model("draft", 1, 0));

    @Test
    void shouldAssignConfiguredNumberOfRunnersAndShareTheRest() {
        assertThat(counts(MODELS_WITH_FIXED_CIVIC, hosts(12)))
                .containsEntry("civic", 3L)
                .containsEntry("draft", 9L);
        assertThat(counts(MODELS_SHARING_RUNNERS, hosts(12)))
                .containsEntry("civic", 6L)
                .containsEntry("draft", 6L);
    }

    @Test
    void shouldReturnSameAssignmentWhenHostsAreListedInAnotherOrder() {
        List<Host> shuffled = new java.util.ArrayList<>(hosts(12));
        Collections.shuffle(shuffled, new Random(5));
        assertThat(assignment(MODELS_WITH_FIXED_CIVIC, shuffled))
                .isEqualTo(assignment(MODELS_WITH_FIXED_CIVIC, hosts(12)));
    }

    @Test
    void shouldReassignFewRunnersWhenOneHostIsRemoved() {
        var before = assignment(MODELS_SHARING_RUNNERS, hosts(100));
        var after = assignment(MODELS_SHARING_RUNNERS, hosts(99));
        long moved = after.entrySet().stream()
                .filter(entry -> !before.get(entry.getKey()).equals(entry.getValue()))
                .count();
        assertThat(moved).isLessThanOrEqualTo(4);
    }

    @Test
    void shouldKeepLoadedVersionOrLoadNewVersionOfItsModelWhenNoModelHasConfiguredRunners() {
        assertThat(ModelAssignment.target(
                        MODELS_SHARING_RUNNERS, hosts(2), "runner-0", "weights-draft-1", Optional.empty()))
                .contains(new EngineTarget("draft-1", "weights-draft-1"));
        List<Model> withNewDraft = List.of(model("civic", 1, 0), model("draft", 2, 0));
        assertThat(ModelAssignment.target(withNewDraft, hosts(2), "runner-0", "weights-draft-1", Optional.of("draft")))
                .contains(new EngineTarget("draft-2", "weights-draft-2"));
        assertThat(ModelAssignment.target(withNewDraft, hosts(2), "unlisted", "weights-draft-1", Optional.empty()))
                .isEmpty();
    }

    private static java.util.Map<String, Long> counts(List<Model> models, List<Host> hosts) {
        return assignment(models, hosts).values().stream()
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    }

    private static java.util.Map<String, String> assignment(List<Model> models, List<Host> hosts) {
        ModelAssignment modelAssignment = ModelAssignment.of(models, hosts);
        return hosts.stream()
                .filter(host -> modelAssignment.model(host.name()).isPresent())
                .collect(Collectors.toMap(
                        Host::name,
                        host -> modelAssignment.model(host.name()).get().name()));
    }

    private static List<Host> hosts(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new Host("runner-" + i, HostKind.RUNNER, "127.0.0.1:1", "kigali-a", HostState.LIVE))
                .toList();
    }

    private static Model model(String name, int version, int runners) {
        String versionName = name + "-" + version;
        return new Model(name, versionName, "weights-" + versionName, "", runners, 100);
    }
}
