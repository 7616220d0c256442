package org.geraniumford.transport.log;

import static java.util.Objects.requireNonNull;

import java.util.HexFormat;
import org.tinylog.Logger;

/** One log line of key=value pairs. Values with special characters are quoted, so that the line can be parsed. */
public final class LogEvent {
    private static final String PLAIN_PUNCTUATION = "_.:/@+-";
    private static final HexFormat HEX = HexFormat.of();

    /** DEL; all characters from here on are looked at one by one. */
    private static final char FIRST_UNPRINTED_ASCII = 0x7f;

    /** How much of a text that others wrote a line holds. */
    private static final int MAX_FOREIGN_CHARACTERS = 300;

    private final String line;

    private LogEvent(String line) {
        this.line = line;
    }

    // -- construction

    /**
     * Starts a line.
     *
     * @param event the event's name in lower case with underscores
     * @return a line with the pair {@code event=…} only
     */
    public static LogEvent of(String event) {
        return new LogEvent("event=" + quoted(requireNonNull(event, "event is null")));
    }

    // -- combinators

    /**
     * Adds a pair. Must not be used for the text of prompts or API keys.
     *
     * @param key the key in lower case with underscores
     * @param value the value; null is written as the empty string
     * @return a new line that ends with the pair
     */
    public LogEvent with(String key, Object value) {
        return new LogEvent(line + ' ' + key + '=' + quoted(value == null ? "" : value.toString()));
    }

    /**
     * Shortens a text that others wrote, so that it does not fill the log.
     *
     * @param text the text
     * @return its first 300 characters
     */
    public static String limited(String text) {
        return text.length() <= MAX_FOREIGN_CHARACTERS ? text : text.substring(0, MAX_FOREIGN_CHARACTERS);
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
     * Writes the line at level error, followed by the class and message of a failure.
     *
     * @param failure the cause
     */
    public void error(Throwable failure) {
        LogEvent event = with("failure", failure.getClass().getName()).with("message", failure.getMessage());
        Logger.error(event.line);
    }

    // -- queries

    /**
     * Returns the line.
     *
     * @return the pairs, separated by single spaces
     */
    @Override
    public String toString() {
        return line;
    }

    private static String quoted(String value) {
        return isPlain(value) ? value : '"' + escaped(value) + '"';
    }

    /** Returns whether a value needs no quotes: ASCII letters, digits and some punctuation. */
    private static boolean isPlain(String value) {
        return !value.isEmpty() && value.chars().allMatch(LogEvent::isPlain);
    }

    private static boolean isPlain(int character) {
        return (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9')
                || PLAIN_PUNCTUATION.indexOf(character) >= 0;
    }

    private static String escaped(String value) {
        return needsNoEscape(value) ? value : withEscapes(value);
    }

    /** Returns whether a value holds only printable ASCII without quotes and backslashes, as nearly all do. */
    private static boolean needsNoEscape(String value) {
        for (int i = 0; i < value.length(); i++) {
            char character = value.charAt(i);
            if (character < ' ' || character >= FIRST_UNPRINTED_ASCII || character == '"' || character == '\\') {
                return false;
            }
        }
        return true;
    }

    private static String withEscapes(String value) {
        StringBuilder text = new StringBuilder(value.length());
        value.codePoints().forEach(character -> appendEscaped(character, text));
        return text.toString();
    }

    /** Appends a character, or an escape if it would end the line or not reach the log file as it is. */
    private static void appendEscaped(int character, StringBuilder text) {
        switch (character) {
            case '\\', '"' -> text.append('\\').append((char) character);
            case '\n' -> text.append("\\n");
            case '\r' -> text.append("\\r");
            default -> {
                if (isPrinted(character)) {
                    text.appendCodePoint(character);
                } else {
                    text.append("\\u").append(HEX.toHexDigits((char) character));
                }
            }
        }
    }

    private static boolean isPrinted(int character) {
        return switch (Character.getType(character)) {
            case Character.CONTROL, Character.SURROGATE, Character.LINE_SEPARATOR, Character.PARAGRAPH_SEPARATOR ->
                false;
            default -> true;
        };
    }
}
