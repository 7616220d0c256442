package org.geraniumford.transport.response;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * A reason for which the head of a response cannot be believed. It may be one that broke off and was continued by
 * another response, so that nothing in it is certain, and the request may have run.
 */
public enum ResponseHeadFault {
    /** The head does not begin with a status line. */
    NO_STATUS_LINE(head -> !Patterns.STATUS_LINE.matcher(head.statusLine()).matches()),
    /** A status line stands behind the first one: in a reason phrase, the name or the value of a field. */
    SECOND_STATUS_LINE(head -> Patterns.containsStatusLine(head.text().substring(1))),
    /** A line ends with CR or LF alone. */
    LINE_END(head -> Patterns.SINGLE_LINE_END.matcher(head.text()).find()),
    /** A line continues the field of the line before. */
    FOLDED_LINE(head -> head.fieldLines().anyMatch(line -> line.startsWith(" ") || line.startsWith("\t"))),
    /** A line is no header field: it has no colon, or what stands before the colon is no name. */
    FIELD_NAME(head ->
            head.fieldLines().anyMatch(line -> !Patterns.FIELD.matcher(line).lookingAt())),
    /** A control character stands in a line. */
    CONTROL_CHARACTER(head -> head.text().chars().anyMatch(Patterns::isControl)),
    /** The length is given more than once, or is no number. */
    LENGTH(head -> Patterns.isDoubtful(head.values("Content-Length"), Patterns.LENGTH)),
    /** The transfer encoding is another one than chunks, or is given more than once. */
    TRANSFER_ENCODING(head -> Patterns.isDoubtful(head.values("Transfer-Encoding"), Patterns.CHUNKED)),
    /** The response has both a length and chunks. */
    LENGTH_AND_CHUNKS(head -> !head.values("Content-Length").isEmpty()
            && !head.values("Transfer-Encoding").isEmpty()),
    /** The head is larger than what is read of one. */
    TOO_LARGE(head -> head.text().length() > StrictResponseDecoder.MAX_HEAD_BYTES),
    /** The connection ends within the head. */
    BROKEN_OFF(head -> false);

    @SuppressWarnings("ImmutableEnumChecker")
    private final Predicate<ResponseHead> predicate;

    ResponseHeadFault(Predicate<ResponseHead> predicate) {
        this.predicate = requireNonNull(predicate, "predicate is null");
    }

    // -- queries

    boolean appliesTo(ResponseHead head) {
        return predicate.test(head);
    }

    /**
     * Returns the name for the log.
     *
     * @return the name in lower case with underscores
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** What the parts of a sound head look like. */
    private static final class Patterns {
        static final Pattern STATUS_LINE = Pattern.compile("HTTP/1[.][01] [1-9][0-9]{2}( .*)?", Pattern.DOTALL);
        static final Pattern STATUS = Pattern.compile("HTTP/1[.][01] [0-9]{3}");
        static final Pattern SINGLE_LINE_END = Pattern.compile("\r(?!\n)|(?<!\r)\n");
        static final Pattern FIELD = Pattern.compile("[-!#$%&'*+.^_`|~0-9A-Za-z]+:");
        static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
        static final Pattern CHUNKED = Pattern.compile("chunked", Pattern.CASE_INSENSITIVE);

        private Patterns() {}

        static boolean containsStatusLine(String text) {
            return text.contains("HTTP/1.") && STATUS.matcher(text).find();
        }

        static boolean isControl(int character) {
            boolean allowed = character == '\t' || character == '\r' || character == '\n';
            return (character < ' ' && !allowed) || character == 0x7f;
        }

        static boolean isDoubtful(List<String> values, Pattern sound) {
            return values.size() > 1
                    || values.stream().anyMatch(value -> !sound.matcher(value).matches());
        }
    }
}
