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
 * Assigns a model to each runner, as a function of the configured models and the host list. Every process computes the
 * same assignment from the same two inputs, and adding or removing a host changes the models of few other runners.
 */
public final class ModelAssignment {
    private final Map<String, Model> modelsByRunner;

    private ModelAssignment(Map<String, Model> modelsByRunner) {
        this.modelsByRunner = modelsByRunner;
    }

    // -- construction

    /**
     * Computes the assignment. Models with a configured number of runners come first, in the order of their names; the
     * others share the remaining runners equally.
     *
     * @param models the configured models
     * @param hosts the hosts that the platform lists
     * @return the assignment, in which a runner that is leaving or is needed by no model has no model
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
        int remaining = runners;
        for (Model model : sorted) {
            int fixed = Math.min(remaining, model.runners());
            quotas.put(model.name(), fixed);
            remaining -= fixed;
        }
        List<Model> sharing =
                sorted.stream().filter(model -> model.runners() == 0).toList();
        for (int i = 0; i < sharing.size(); i++) {
            int share = remaining / sharing.size() + (i < remaining % sharing.size() ? 1 : 0);
            quotas.put(sharing.get(i).name(), share);
        }
        return quotas;
    }

    // -- queries

    /**
     * Returns the model that is assigned to a runner.
     *
     * @param runner the name of the runner's host
     * @return the model; empty if the runner is not listed, is leaving, or is needed by no model
     */
    public Optional<Model> model(String runner) {
        return Optional.ofNullable(modelsByRunner.get(requireNonNull(runner, "runner is null")));
    }

    /**
     * Returns what one runner's engine should have loaded. If no model has a configured number of runners, an engine
     * with the weights of a configured model keeps them, and an engine whose model has a new version loads that
     * version. In all other cases the target is the model that is assigned to the runner.
     *
     * @param models the configured models
     * @param hosts the hosts that the platform lists
     * @param runner the name of the runner's host
     * @param loadedWeights the digest of the weights that the engine has loaded
     * @param lastModel the name of the model that the engine last served, if known
     * @return the target; empty to leave the engine unchanged
     */
    public static Optional<EngineTarget> target(
            Collection<Model> models,
            List<Host> hosts,
            String runner,
            String loadedWeights,
            Optional<String> lastModel) {
        boolean anyFixed = models.stream().anyMatch(model -> model.runners() > 0);
        Optional<Model> kept = models.stream()
                .filter(model -> !anyFixed)
                .filter(model -> model.weightsDigest().equals(loadedWeights)
                        || lastModel.filter(model.name()::equals).isPresent())
                // Prefers the model whose weights are loaded, because false sorts before true.
                .min(Comparator.comparing(model -> !model.weightsDigest().equals(loadedWeights)));
        return kept.or(() -> of(models, hosts).model(runner))
                .map(model -> new EngineTarget(model.version(), model.weightsDigest()));
    }

    /** A model and a runner to which it may be assigned; pairs with lower scores are assigned first. */
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
