package org.geraniumford.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Renders the page of all settings in Markdown. */
public final class SettingsPage {
    private static final List<SettingsSchema<?>> SCHEMAS = List.of(SettingsLoader.ENTRY, SettingsLoader.SIDECAR);
    private static final String HEAD = """
            # Settings

            Each process reads one INI file at its start (`geraniumford entry --settings FILE`, `geraniumford sidecar \
            --settings FILE`). `--check` reads it, reports everything wrong with file, line, key and what is allowed, \
            and starts nothing. Unknown keys, values out of range and keys set twice are errors. A host name is not an \
            address here: addresses are IP numbers. Lines that begin with `;` or `#` are comments.

            This page is printed by `geraniumford settings`; a test compares the two.
            """;

    private SettingsPage() {}

    /**
     * Renders the page.
     *
     * @return the text of docs/SETTINGS.md
     */
    public static String render() {
        return Stream.concat(Stream.of(HEAD), SCHEMAS.stream().map(SettingsPage::table))
                .collect(Collectors.joining("\n"));
    }

    private static String table(SettingsSchema<?> schema) {
        List<String> sections =
                schema.settings().stream().map(Setting::section).distinct().toList();
        String rows = sections.stream()
                .flatMap(section -> schema.settings().stream()
                        .filter(setting -> setting.section().equals(section)))
                .map(SettingsPage::row)
                .collect(Collectors.joining());
        return "## geraniumford " + schema.daemon() + "\n\n"
                + "| section | key | unit | default | allowed | meaning |\n|---|---|---|---|---|---|\n" + rows;
    }

    private static String row(Setting<?> setting) {
        String unit = setting.type().unit();
        String defaultText = setting.defaultText()
                .map(text -> text.isEmpty() ? "empty" : "`" + text + "`")
                .orElse("must be set");
        return "| %s | `%s` | %s | %s | %s | %s |%n"
                .formatted(
                        setting.section(),
                        setting.name(),
                        unit.isEmpty() ? "-" : unit,
                        defaultText,
                        setting.type().allowedValues(),
                        setting.description())
                .replace("\r", "");
    }
}
