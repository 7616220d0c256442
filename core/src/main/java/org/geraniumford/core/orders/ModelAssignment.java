package org.geraniumford.core.orders;

import static java.util.Objects.requireNonNull;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.geraniumford.core.configuration.Model;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.membership.HostKind;
import org.geraniumford.core.membership.HostState;

/**
 * Which model each runner should hold: a function of the configured models and the host list. Every process that sees
 * the same two comes to the same plan, and one host more or less moves few others.
 */
public final class ModelAssignment {
    private final Map<String, Model> modelsByRunner;

    private ModelAssignment(Map<String, Model> byRunner) {
        this.modelsByRunner = byRunner;
    }

    // -- construction

    /**
     * Plans. Models with a number of runners come first, the others share the rest equally.
     *
     * @param models the configured models
     * @param hosts the platform's list
     * @return the plan for all runners that stay
     */
    public static ModelAssignment of(Collection<Model> models, List<Host> hosts) {
        List<String> runners = hosts.stream()
                .filter(host -> host.kind() == HostKind.RUNNER && host.state() == HostState.LIVE)
                .map(Host::name)
                .sorted()
                .toList();
        Map<String, Integer> quotas = runnerCounts(models, runners.size());
        Map<String, Model> assigned = new TreeMap<>();
        runners.stream()
                .flatMap(runner -> models.stream().map(model -> ScoredPair.of(model, runner)))
                .sorted(ScoredPair.BY_SCORE)
                .filter(pair -> !assigned.containsKey(pair.runner()))
                .filter(pair -> quotas.get(pair.model().name()) > 0)
                .forEach(pair -> {
                    assigned.put(pair.runner(), pair.model());
                    quotas.merge(pair.model().name(), -1, Integer::sum);
                });
        return new ModelAssignment(assigned);
    }

    private static Map<String, Integer> runnerCounts(Collection<Model> models, int runners) {
        List<Model> sorted =
                models.stream().sorted(Comparator.comparing(Model::name)).toList();
        Map<String, Integer> quotas = new HashMap<>();
        int left = runners;
        for (Model model : sorted) {
            int fixed = Math.min(left, model.runners());
            quotas.put(model.name(), fixed);
            left -= fixed;
        }
        List<Model> sharing =
                sorted.stream().filter(model -> model.runners() == 0).toList();
        for (int i = 0; i < sharing.size(); i++) {
            int share = left / sharing.size() + (i < left % sharing.size() ? 1 : 0);
            quotas.put(sharing.get(i).name(), share);
        }
        return quotas;
    }

    // -- queries

    /**
     * Finds the model that a runner is planned for.
     *
     * @param runner the host's name
     * @return the model; empty if the runner is not in the plan or no model needs it
     */
    public Optional<Model> model(String runner) {
        return Optional.ofNullable(modelsByRunner.get(requireNonNull(runner, "runner is null")));
    }

    /**
     * Decides what one runner's engine should hold. Where no model names a number of runners, an engine that holds a
     * configured version keeps it, and one whose model got another version follows that model.
     *
     * @param models the configured models
     * @param hosts the platform's list
     * @param runner the host's name
     * @param heldWeights the digest of the weights that the engine holds
     * @param heldModel the name of the model that the engine last served, if known
     * @return what to hold; empty to leave the engine as it is
     */
    public static Optional<EngineTarget> target(
            Collection<Model> models, List<Host> hosts, String runner, String heldWeights, Optional<String> heldModel) {
        boolean counted = models.stream().anyMatch(model -> model.runners() > 0);
        Optional<Model> kept = models.stream()
                .filter(model -> !counted)
                .filter(model -> model.weightsDigest().equals(heldWeights)
                        || heldModel.filter(model.name()::equals).isPresent())
                .min(Comparator.comparing(model -> !model.weightsDigest().equals(heldWeights)));
        return kept.or(() -> of(models, hosts).model(runner))
                .map(model -> new EngineTarget(model.version(), model.weightsDigest()));
    }

    private record ScoredPair(Model model, String runner, long score) {
        private static final Comparator<ScoredPair> BY_SCORE = Comparator.comparingLong(ScoredPair::score)
                .thenComparing(ScoredPair::runner)
                .thenComparing(pair -> pair.model().name());

        static ScoredPair of(Model model, String runner) {
            long score = Hashing.xxh3_64()
                    .hashStream()
                    .putString(model.name())
                    .putString(runner)
                    .getAsLong();
            return new ScoredPair(model, runner, score);
        }
    }
}
