package org.geraniumford.transport.log;

import static java.util.Objects.requireNonNull;

import java.util.regex.Pattern;
import org.tinylog.Logger;

/** One log line. Values that hold anything but plain characters are quoted, so that the line parses back. */
public final class LogEvent {
    private static final Pattern PLAIN = Pattern.compile("[A-Za-z0-9_.:/@+-]+");

    private final String line;

    private LogEvent(String line) {
        this.line = line;
    }

    // -- construction

    /**
     * Starts a line.
     *
     * @param event the event's name in lower case with underscores
     * @return a line that names the event
     */
    public static LogEvent of(String event) {
        return new LogEvent("event=" + quoted(requireNonNull(event, "event is null")));
    }

    // -- combinators

    /**
     * Adds a pair. Never pass prompt or key text.
     *
     * @param key the key in lower case with underscores
     * @param value the value; null is written as an empty string
     * @return a new line
     */
    public LogEvent with(String key, Object value) {
        return new LogEvent(line + ' ' + key + '=' + quoted(value == null ? "" : value.toString()));
    }

    // -- commands

    /** Writes the line at level info. */
    public void info() {
        Logger.info(line);
    }

    /** Writes the line at level debug. */
    public void debug() {
        Logger.debug(line);
    }

    /** Writes the line at level warn. */
    public void warn() {
        Logger.warn(line);
    }

    /**
     * Writes the line at level error, with the class and message of a failure.
     *
     * @param failure the cause
     */
    public void error(Throwable failure) {
        LogEvent whole = with("failure", failure.getClass().getName()).with("message", failure.getMessage());
        Logger.error(whole.line);
    }

    // -- queries

    /**
     * Returns the line.
     *
     * @return the pairs, separated by one space each
     */
    @Override
    public String toString() {
        return line;
    }

    private static String quoted(String value) {
        return PLAIN.matcher(value).matches() ? value : '"' + escaped(value) + '"';
    }

    private static String escaped(String value) {
        return value.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r");
    }
}
