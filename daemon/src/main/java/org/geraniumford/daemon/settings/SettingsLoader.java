package org.geraniumford.daemon.settings;

import static org.geraniumford.daemon.settings.Setting.optional;
import static org.geraniumford.daemon.settings.Setting.required;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import org.geraniumford.core.ini.IniDocument;
import org.geraniumford.core.ini.IniProblem;
import org.geraniumford.core.routing.RoutingPolicy;
import org.geraniumford.transport.http.HttpLimits;

/** Loads the daemons' settings files. */
public final class SettingsLoader {
    private static final Setting<InetSocketAddress> CALLER =
            required("listen", "caller", SettingType.address(), "Where callers connect.");
    private static final Setting<Integer> BLOCK_TOKENS = optional(
            "engine",
            "piece_tokens",
            SettingType.integer("tokens", 1, 1_000_000),
            "4000",
            "The engines' cache piece size. Must be the same on every entry.");
    private static final Setting<RoutingPolicy> ROUTING_POLICY = optional(
            "routing",
            "policy",
            SettingType.choice(RoutingPolicy.class),
            "probe",
            "How the host of a model request is found. All but probe are for comparisons.");
    private static final Setting<Integer> PREFILL_RATE = optional(
            "routing",
            "prefill_tokens_per_second",
            SettingType.integer("tokens/s", 1, 10_000_000),
            Integer.toString(EntrySettings.DEFAULT_PREFILL_TOKENS_PER_SECOND),
            "The prompt tokens that an engine computes a second; weighs waiting against computing again.");
    private static final Setting<Integer> MAX_BODY = optional(
            "limits",
            "max_body",
            SettingType.integer("bytes", 1024, 64 * 1024 * 1024),
            "4194304",
            "The largest request body that is accepted from a caller.");
    private static final Setting<Integer> MAX_HEADER = optional(
            "limits",
            "max_header",
            SettingType.integer("bytes", 1024, 1024 * 1024),
            "16384",
            "The largest sum of a request's header fields.");
    private static final Setting<Integer> MAX_CONNECTIONS = optional(
            "limits",
            "max_connections",
            SettingType.integer("connections", 1, 1_000_000),
            "10000",
            "The largest number of callers' open connections; further ones are closed at once.");
    private static final Setting<URI> BACKEND = required(
            "backend", "address", SettingType.uri(), "The base address of the backend server on the same host.");
    private static final Setting<String> SERVICE = optional(
            "backend",
            "service",
            SettingType.optionalName(),
            "",
            "The name of the plain service; empty in front of a model engine.");

    /** The settings of an entry. */
    public static final SettingsSchema<EntrySettings> ENTRY = SettingsSchema.of(
            "entry",
            List.of(CALLER, BLOCK_TOKENS, ROUTING_POLICY, PREFILL_RATE, MAX_BODY, MAX_HEADER, MAX_CONNECTIONS),
            SettingsLoader::entrySettings);

    /** The settings of a sidecar. */
    public static final SettingsSchema<SidecarSettings> SIDECAR =
            SettingsSchema.of("sidecar", List.of(BACKEND, SERVICE), SettingsLoader::sidecarSettings);

    private SettingsLoader() {}

    // -- loading

    /**
     * Loads an entry's settings.
     *
     * @param file the settings file, in INI format
     * @return the typed settings
     * @throws SettingsException if the file cannot be used; it lists all problems found
     */
    public static EntrySettings loadEntry(Path file) throws SettingsException {
        return load(ENTRY, file);
    }

    /**
     * Loads a sidecar's settings.
     *
     * @param file the settings file, in INI format
     * @return the typed settings
     * @throws SettingsException if the file cannot be used; it lists all problems found
     */
    public static SidecarSettings loadSidecar(Path file) throws SettingsException {
        return load(SIDECAR, file);
    }

    /**
     * Loads a daemon's settings.
     *
     * @param schema the daemon's settings and their conversion
     * @param file the settings file, in INI format
     * @param <S> the type of the daemon's settings
     * @return the typed settings
     * @throws SettingsException if the file cannot be used; it lists all problems found
     */
    public static <S> S load(SettingsSchema<S> schema, Path file) throws SettingsException {
        return schema.read(readDocument(file), folderOf(file));
    }

    private static IniDocument readDocument(Path file) throws SettingsException {
        try {
            return IniDocument.of(file.toString(), Files.readAllBytes(file));
        } catch (NoSuchFileException e) {
            throw unreadable(file, "there is no such file");
        } catch (IOException e) {
            throw unreadable(file, "the file cannot be read");
        }
    }

    private static SettingsException unreadable(Path file, String message) {
        return new SettingsException(List.of(new IniProblem(file.toString(), 0, "", message)));
    }

    private static Path folderOf(Path file) {
        Path parent = file.getParent();
        return parent == null ? Path.of("") : parent;
    }

    // -- building

    private static EntrySettings entrySettings(SettingValues values, Path folder) {
        return new EntrySettings(
                values.value(CommonSettings.ID),
                values.value(CommonSettings.FAILURE_DOMAIN),
                values.value(CALLER),
                values.value(CommonSettings.OPERATOR),
                values.value(CommonSettings.LINK),
                values.value(CommonSettings.PLATFORM),
                values.value(CommonSettings.SEEDS),
                values.value(BLOCK_TOKENS),
                values.value(ROUTING_POLICY),
                values.value(PREFILL_RATE),
                new HttpLimits(
                        values.value(MAX_BODY),
                        values.value(MAX_HEADER),
                        values.value(MAX_CONNECTIONS),
                        HttpLimits.DEFAULT_REQUEST_TIMEOUT),
                CommonSettings.security(values, folder),
                values.value(CommonSettings.DRAIN_TIMEOUT));
    }

    private static SidecarSettings sidecarSettings(SettingValues values, Path folder) {
        return new SidecarSettings(
                values.value(CommonSettings.ID),
                values.value(CommonSettings.FAILURE_DOMAIN),
                values.value(CommonSettings.OPERATOR),
                values.value(CommonSettings.LINK),
                values.value(CommonSettings.PLATFORM),
                values.value(CommonSettings.SEEDS),
                values.value(BACKEND),
                values.value(SERVICE),
                CommonSettings.security(values, folder),
                values.value(CommonSettings.DRAIN_TIMEOUT));
    }
}
