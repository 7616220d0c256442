package org.geraniumford.core.ini;

import java.io.Reader;

/** Hands out text one line a read, so that a parser's buffer never runs ahead of the line that it parses. */
public final class LineReader extends Reader {
    private final String text;
    private int position;
    private int line;

    /**
     * Creates a reader.
     *
     * @param text what to read
     */
    public LineReader(String text) {
        this.text = text;
    }

    // -- queries

    /**
     * Returns where the parser is.
     *
     * @return the number of the line handed out last, from 1
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
