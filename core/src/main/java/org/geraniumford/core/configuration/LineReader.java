package org.geraniumford.core.configuration;

import java.io.Reader;

/** Gives a buffering parser one line at a time, so that the line being parsed is known. */
final class LineReader extends Reader {
    private final String text;
    private int offset;
    private int line;

    LineReader(String text) {
        super();
        this.text = text;
    }

    /** Returns the number of the line that was read last, from 1. */
    int line() {
        return line;
    }

    @Override
    public int read(char[] buffer, int start, int length) {
        if (offset >= text.length()) {
            return -1;
        }
        if (offset == 0 || text.charAt(offset - 1) == '\n') {
            line++;
        }
        int newline = text.indexOf('\n', offset);
        int end = Math.min(newline < 0 ? text.length() : newline + 1, offset + length);
        text.getChars(offset, end, buffer, start);
        int count = end - offset;
        offset = end;
        return count;
    }

    @Override
    public void close() {}
}
