package org.geraniumford.daemon.settings;

import static java.util.Objects.requireNonNull;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * The unit, the allowed values and the parser of a setting.
 *
 * @param <T> the type of the value
 * @param unit the unit of the value; empty if it has none
 * @param allowedValues a description of the allowed values, for error messages and the settings page
 * @param parser converts text to a value; throws {@link IllegalArgumentException} if the text is not allowed
 */
public record SettingType<T>(String unit, String allowedValues, Function<String, T> parser) {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
    private static final String IPV4 = OCTET + "(?:\\." + OCTET + "){3}";
    private static final String IPV6 = "\\[[0-9A-Fa-f:.]+]";
    private static final Pattern IP_PORT = Pattern.compile("(" + IPV4 + "|" + IPV6 + "):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;

    /** Checks the components. */
    public SettingType {
        requireNonNull(unit, "unit is null");
        requireNonNull(allowedValues, "allowedValues is null");
        requireNonNull(parser, "parser is null");
    }

    // -- construction

    /**
     * Returns the type of names of processes, hosts, failure domains and services.
     *
     * @return texts of 1 to 63 letters, digits, dots, hyphens and underscores that begin with a letter or digit
     */
    public static SettingType<String> name() {
        return new SettingType<>("", "1 to 63 letters, digits, '.', '-' or '_', a letter or digit first", text -> {
            require(NAME.matcher(text).matches());
            return text;
        });
    }

    /**
     * Returns the type of names that may be left empty.
     *
     * @return the empty text, or texts that {@link #name} allows
     */
    public static SettingType<String> optionalName() {
        SettingType<String> name = name();
        return new SettingType<>(
                "",
                "empty, or " + name.allowedValues(),
                text -> text.isEmpty() ? text : name.parser().apply(text));
    }

    /**
     * Returns the type of socket addresses.
     *
     * @return an IP address and a port; host names are rejected without a lookup
     */
    public static SettingType<InetSocketAddress> address() {
        return new SettingType<>("", "IP:PORT, port 0 to 65535 (0: any free port)", SettingType::parseAddress);
    }

    /**
     * Returns the type of lists of socket addresses.
     *
     * @return zero or more addresses, separated by commas
     */
    public static SettingType<List<InetSocketAddress>> addresses() {
        return new SettingType<>(
                "",
                "IP:PORT, ... or empty",
                text -> Arrays.stream(text.split(","))
                        .map(String::strip)
                        .filter(address -> !address.isEmpty())
                        .map(SettingType::parseAddress)
                        .toList());
    }

    /**
     * Returns the type of base addresses of HTTP interfaces.
     *
     * @return an absolute http or https URI with a host
     */
    public static SettingType<URI> uri() {
        return new SettingType<>("", "http://HOST:PORT or https://HOST:PORT", text -> {
            URI uri = URI.create(text);
            require(("http".equals(uri.getScheme()) || "https".equals(uri.getScheme())) && uri.getHost() != null);
            return uri;
        });
    }

    /**
     * Returns the type of integers.
     *
     * @param unit the unit
     * @param min the smallest allowed value
     * @param max the largest allowed value
     * @return integers from {@code min} to {@code max}
     */
    public static SettingType<Integer> integer(String unit, int min, int max) {
        return new SettingType<>(unit, min + " to " + max, text -> {
            int value = Integer.parseInt(text);
            require(value >= min && value <= max);
            return value;
        });
    }

    /**
     * Returns the type of durations in milliseconds.
     *
     * @param min the shortest allowed duration, in milliseconds
     * @param max the longest allowed duration, in milliseconds
     * @return durations from {@code min} to {@code max}
     */
    public static SettingType<Duration> millis(int min, int max) {
        SettingType<Integer> number = integer("ms", min, max);
        return new SettingType<>(
                number.unit(),
                number.allowedValues(),
                text -> Duration.ofMillis(number.parser().apply(text)));
    }

    /**
     * Returns the type of booleans.
     *
     * @return {@code true} or {@code false}
     */
    public static SettingType<Boolean> flag() {
        return new SettingType<>("", "true or false", text -> {
            require("true".equals(text) || "false".equals(text));
            return Boolean.valueOf(text);
        });
    }

    /**
     * Returns the type of an enum's constants.
     *
     * @param type the enum's class
     * @param <E> the enum
     * @return the constants' names in lower case
     */
    public static <E extends Enum<E>> SettingType<E> choice(Class<E> type) {
        String allowed =
                Arrays.stream(type.getEnumConstants()).map(SettingType::labelOf).collect(Collectors.joining(", "));
        return new SettingType<>(
                "",
                allowed,
                text -> Arrays.stream(type.getEnumConstants())
                        .filter(constant -> labelOf(constant).equals(text))
                        .findFirst()
                        .orElseThrow(IllegalArgumentException::new));
    }

    /**
     * Returns the type of file names.
     *
     * @return paths; the empty path means that there is no file
     */
    public static SettingType<Path> path() {
        return new SettingType<>("", "a file's path, or empty", text -> {
            try {
                return Path.of(text);
            } catch (InvalidPathException e) {
                throw new IllegalArgumentException(e);
            }
        });
    }

    // -- parsing

    private static InetSocketAddress parseAddress(String text) {
        Matcher matcher = IP_PORT.matcher(text);
        require(matcher.matches());
        int port = Integer.parseInt(matcher.group(2));
        require(port <= MAX_PORT);
        try {
            return new InetSocketAddress(InetAddress.getByName(matcher.group(1)), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private static String labelOf(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static void require(boolean allowed) {
        if (!allowed) {
            throw new IllegalArgumentException();
        }
    }
}
