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

    /** The limits of the platform's entry, whose settings file the platform writes. */
    private static final String PLATFORM_LIMITS = """
            ## On the users' platform: limits for all callers together

            | key or size | unit | default | meaning |
            |---|---|---|---|
            | `limits.max_fds` | descriptors | no limit | How many descriptors the process may have open. \
            Callers get three quarters of them, minus those open at the start. |
            | the heap (`-Xmx`) | bytes | set by the platform | A quarter of it is for what is kept for callers: \
            undecoded bytes, heads, bodies, unsent responses. Above half of that, large bodies are not read \
            except the largest; above three quarters, requests with bodies of more than 64 KB are refused with \
            503; above all of it, the largest half-sent, unread or pipelining connection is closed. |
            | trailers of a request | bytes, lines | `max_header_bytes`, 256 | More are refused with 431. |
            | unsent responses of a connection | bytes | 16384 | The next pipelined request waits until fewer \
            are unsent. |
            | readiness and metrics | bytes, connections | 1024 a body, 2 MB, 32 | The maximum of one body, of \
            what is kept for all connections, and of the connections of each of these listeners. |
            """;

    private SettingsPage() {}

    /**
     * Renders the page.
     *
     * @return the text of docs/SETTINGS.md
     */
    public static String render() {
        return Stream.of(Stream.of(HEAD), SCHEMAS.stream().map(SettingsPage::table), Stream.of(PLATFORM_LIMITS))
                .flatMap(part -> part)
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
