package org.geraniumford.daemon.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.geraniumford.core.ini.IniDocument;
import org.geraniumford.core.ini.IniEntry;
import org.geraniumford.core.ini.IniProblem;

/** The values of a list of settings as read from one file, and all problems found in the file. */
final class SettingValues {
    private final IniDocument document;
    private final Map<Setting<?>, Object> values;
    private final List<IniProblem> problems;

    private SettingValues(IniDocument document, Map<Setting<?>, Object> values, List<IniProblem> problems) {
        this.document = document;
        this.values = values;
        this.problems = List.copyOf(problems);
    }

    // -- construction

    /** Reads the values of all settings from a parsed file; settings that it does not set have their defaults. */
    static SettingValues of(IniDocument document, List<Setting<?>> settings) {
        Map<Setting<?>, Object> values = new HashMap<>();
        Stream<IniProblem> valueProblems = settings.stream().flatMap(setting -> readSetting(document, setting, values));
        Stream<IniProblem> unknownEntryProblems = document.entries().stream()
                .filter(entry -> settings.stream().noneMatch(setting -> matches(setting, entry)))
                .map(entry -> unknownEntryProblem(document.file(), entry, settings));
        List<IniProblem> problems = Stream.of(document.problems().stream(), valueProblems, unknownEntryProblems)
                .flatMap(stream -> stream)
                .toList();
        return new SettingValues(document, values, problems);
    }

    /** Adds the value of a setting to the map, or returns the problem if it is missing or not allowed. */
    private static <T> Stream<IniProblem> readSetting(
            IniDocument document, Setting<T> setting, Map<Setting<?>, Object> values) {
        String file = document.file();
        var entry = document.entry(setting.section(), setting.name());
        var text = entry.map(IniEntry::value).or(setting::defaultText);
        if (text.isEmpty()) {
            return Stream.of(IniProblem.ofMissing(
                    file, setting.section(), setting.name(), "not set; allowed: " + describeAllowed(setting)));
        }
        var value = text.flatMap(setting::parse);
        value.ifPresent(parsed -> values.put(setting, parsed));
        return value.isPresent()
                ? Stream.empty()
                : Stream.of(entry.map(present -> IniProblem.ofEntry(
                                file,
                                present,
                                "not allowed: " + quote(present) + "; allowed: " + describeAllowed(setting)))
                        .orElseThrow(() -> new IllegalStateException("the default of " + setting + " is not allowed")));
    }

    private static String quote(IniEntry entry) {
        return entry.value().isEmpty() ? "an empty value" : "'" + entry.value() + "'";
    }

    private static String describeAllowed(Setting<?> setting) {
        String unit = setting.type().unit();
        return setting.type().allowedValues() + (unit.isEmpty() ? "" : " (" + unit + ")");
    }

    private static boolean matches(Setting<?> setting, IniEntry entry) {
        return setting.section().equals(entry.section()) && setting.name().equals(entry.key());
    }

    private static IniProblem unknownEntryProblem(String file, IniEntry entry, List<Setting<?>> settings) {
        String keys = settings.stream()
                .filter(setting -> setting.section().equals(entry.section()))
                .map(Setting::name)
                .collect(Collectors.joining(", "));
        String sections = settings.stream().map(Setting::section).distinct().collect(Collectors.joining(", "));
        String message = keys.isEmpty()
                ? "unknown section; allowed sections: " + sections
                : "unknown key; allowed keys: " + keys;
        return IniProblem.ofEntry(file, entry, message);
    }

    // -- queries

    /** Returns all problems found in the file. */
    List<IniProblem> problems() {
        return problems;
    }

    /** Returns the value of a setting. Must not be called if the file has problems. */
    @SuppressWarnings("unchecked")
    <T> T value(Setting<T> setting) {
        return (T) values.get(setting);
    }

    /** Returns a problem of a setting whose value conflicts with other settings or names an unusable file. */
    IniProblem problem(Setting<?> setting, String message) {
        String file = document.file();
        return document.entry(setting.section(), setting.name())
                .map(entry -> IniProblem.ofEntry(file, entry, message))
                .orElseGet(() -> IniProblem.ofMissing(file, setting.section(), setting.name(), message));
    }
}
