package org.geraniumford.daemon.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.geraniumford.core.ini.IniDocument;
import org.geraniumford.core.ini.IniProblem;

/**
 * All settings of one daemon, and the conversion of their values to its typed settings.
 *
 * @param <S> the type of the daemon's settings
 */
public final class SettingsSchema<S> {
    /** Creates typed settings from values without problems; relative file names are resolved against the folder. */
    interface Builder<S> {
        S build(SettingValues values, Path folder);
    }

    private final String daemon;
    private final List<Setting<?>> settings;
    private final Builder<S> builder;

    private SettingsSchema(String daemon, List<Setting<?>> settings, Builder<S> builder) {
        this.daemon = daemon;
        this.settings = List.copyOf(settings);
        this.builder = builder;
    }

    // -- construction

    /** Creates the schema of a daemon from its own settings, to which the common settings are added. */
    static <S> SettingsSchema<S> of(String daemon, List<Setting<?>> ownSettings, Builder<S> builder) {
        List<Setting<?>> all = Stream.of(
                        CommonSettings.leadingSettings(), ownSettings, CommonSettings.trailingSettings())
                .flatMap(List::stream)
                .toList();
        return new SettingsSchema<>(daemon, all, builder);
    }

    // -- queries

    /**
     * Returns the daemon's name.
     *
     * @return the subcommand that starts the daemon
     */
    public String daemon() {
        return daemon;
    }

    /**
     * Returns the settings.
     *
     * @return every setting that the daemon's file may contain
     */
    public List<Setting<?>> settings() {
        return settings;
    }

    /**
     * Reads typed settings from a parsed file.
     *
     * @param document the parsed file
     * @param folder the folder against which relative file names are resolved
     * @return the typed settings
     * @throws SettingsException if the file cannot be used; it lists all problems found
     */
    public S read(IniDocument document, Path folder) throws SettingsException {
        SettingValues values = SettingValues.of(document, settings);
        requireNoProblems(values.problems());
        requireNoProblems(CommonSettings.problems(values, folder).toList());
        return builder.build(values, folder);
    }

    private static void requireNoProblems(List<IniProblem> problems) throws SettingsException {
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
    }
}
