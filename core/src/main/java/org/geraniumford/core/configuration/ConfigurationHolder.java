package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/** The configuration in force in one process. It only moves to later versions. Thread-safe. */
public final class ConfigurationHolder {
    private final AtomicReference<Configuration> current = new AtomicReference<>(Configuration.empty());
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();

    private ConfigurationHolder() {}

    // -- construction

    /**
     * Creates a holder without a configuration.
     *
     * @return a holder at version 0
     */
    public static ConfigurationHolder empty() {
        return new ConfigurationHolder();
    }

    // -- queries

    /**
     * Returns what is in force.
     *
     * @return the latest configuration offered
     */
    public Configuration current() {
        return current.get();
    }

    /**
     * Returns the version in force.
     *
     * @return 0 before the first one
     */
    public long version() {
        return current.get().version();
    }

    // -- commands

    /**
     * Puts a configuration in force if it is later than the present one.
     *
     * @param candidate the configuration
     * @return true if it is now in force
     */
    public boolean updateIfNewer(Configuration candidate) {
        requireNonNull(candidate, "candidate is null");
        Configuration previous = current.getAndAccumulate(
                candidate, (held, offered) -> offered.version() > held.version() ? offered : held);
        boolean accepted = candidate.version() > previous.version();
        if (accepted) {
            listeners.forEach(listener -> listener.accept(candidate));
        }
        return accepted;
    }

    /**
     * Adds a listener for later configurations. Two changes at once may reach it in either order.
     *
     * @param listener called on the thread that offers the configuration
     */
    public void onChange(Consumer<Configuration> listener) {
        listeners.add(listener);
    }
}
