package org.geraniumford.core.ini;

import java.io.Reader;

/**
 * Returns at most one line of text per read, so that a parser does not buffer more than the line that it parses and
 * {@link #line()} is the number of that line.
 */
public final class LineReader extends Reader {
    private final String text;
    private int position;
    private int line;

    /**
     * Creates a reader.
     *
     * @param text the text to read
     */
    public LineReader(String text) {
        this.text = text;
    }

    // -- queries

    /**
     * Returns the line that was read last.
     *
     * @return the line's number, from 1; 0 before the first read
     */
    public int line() {
        return line;
    }

    // -- commands

    @Override
    public int read(char[] buffer, int offset, int length) {
        if (position >= text.length()) {
            return -1;
        }
        if (position == 0 || text.charAt(position - 1) == '\n') {
            line++;
        }
        int newline = text.indexOf('\n', position);
        int end = newline < 0 ? text.length() : newline + 1;
        int count = Math.min(length, end - position);
        text.getChars(position, position + count, buffer, offset);
        position += count;
        return count;
    }

    @Override
    public void close() {}
}
