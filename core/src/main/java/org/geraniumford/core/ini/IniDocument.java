package org.geraniumford.core.ini;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ini4j.Config;
import org.ini4j.spi.IniHandler;
import org.ini4j.spi.IniParser;

/** The entries of an INI file in order, and the problems found in its text. */
public final class IniDocument {
    private static final int MAX_SYNTAX_PROBLEMS = 20;

    private final String file;
    private final List<IniEntry> entries;
    private final List<IniProblem> problems;

    private IniDocument(String file, List<IniEntry> entries, List<IniProblem> problems) {
        this.file = file;
        this.entries = List.copyOf(entries);
        this.problems = List.copyOf(problems);
    }

    // -- construction

    /**
     * Parses the bytes of a file.
     *
     * @param file the file's name, which problems refer to
     * @param bytes the file's content
     * @return the document; if the bytes are not valid UTF-8, it has one problem and no entries
     */
    public static IniDocument of(String file, byte[] bytes) {
        try {
            return of(
                    file,
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(bytes))
                            .toString());
        } catch (CharacterCodingException e) {
            return new IniDocument(file, List.of(), List.of(new IniProblem(file, 0, "", "the file is not UTF-8 text")));
        }
    }

    /**
     * Parses the text of a file. A key that is set twice in a section is a problem, and its first value is used. The
     * first 20 lines that cannot be parsed are reported as problems and skipped. If there are more, the 21st is not
     * reported and the entries after it are missing.
     *
     * @param file the file's name, which problems refer to
     * @param text the file's content
     * @return the document with its entries and problems
     */
    public static IniDocument of(String file, String text) {
        requireNonNull(file, "file is null");
        requireNonNull(text, "text is null");
        List<String> lines = new ArrayList<>(List.of(text.split("\n", -1)));
        List<IniProblem> problems = new ArrayList<>();
        Collector collector = new Collector(file);
        int invalidLine = collector.parse(lines);
        // The parser stops at the first invalid line, so this line is blanked and the whole text is parsed again.
        while (invalidLine > 0 && problems.size() < MAX_SYNTAX_PROBLEMS) {
            problems.add(IniProblem.ofLine(file, invalidLine, "expected [section] or key = value"));
            lines.set(invalidLine - 1, "");
            collector = new Collector(file);
            invalidLine = collector.parse(lines);
        }
        problems.addAll(collector.duplicates);
        return new IniDocument(file, collector.entries, problems);
    }

    // -- queries

    /**
     * Returns the file's name.
     *
     * @return the name that problems refer to
     */
    public String file() {
        return file;
    }

    /**
     * Returns the entries.
     *
     * @return one entry for each key of each section, in the order of the lines
     */
    public List<IniEntry> entries() {
        return entries;
    }

    /**
     * Returns the problems found in the text.
     *
     * @return the problems; empty if every line was parsed and no key is set twice
     */
    public List<IniProblem> problems() {
        return problems;
    }

    /**
     * Returns the entry of a key.
     *
     * @param section the section's name
     * @param key the key
     * @return the entry, or empty if the key is not set
     */
    public Optional<IniEntry> entry(String section, String key) {
        return entries.stream()
                .filter(entry -> entry.section().equals(section) && entry.key().equals(key))
                .findFirst();
    }

    // -- parsing

    /** Collects the entries of one pass over the text. */
    private static final class Collector implements IniHandler {
        private final String file;
        private final List<IniEntry> entries = new ArrayList<>();
        private final List<IniProblem> duplicates = new ArrayList<>();
        private final Map<String, IniEntry> firstEntries = new HashMap<>();
        private LineReader reader;
        private String section = "";

        Collector(String file) {
            this.file = file;
        }

        /** Parses the lines and returns the number of the first invalid line, from 1; 0 if all lines are valid. */
        int parse(List<String> lines) {
            reader = new LineReader(String.join("\n", lines));
            try {
                IniParser.newInstance(parserConfig()).parse(reader, this);
                return 0;
            } catch (IOException e) {
                return reader.line();
            }
        }

        private static Config parserConfig() {
            Config config = new Config();
            config.setEscape(false);
            config.setEscapeNewline(false);
            config.setInclude(false);
            config.setGlobalSection(false);
            config.setEmptyOption(false);
            return config;
        }

        @Override
        public void startSection(String name) {
            section = name;
        }

        @Override
        public void handleOption(String key, String value) {
            IniEntry entry = new IniEntry(section, key, value == null ? "" : value, reader.line());
            IniEntry existing = firstEntries.putIfAbsent(section + '\n' + key, entry);
            if (existing == null) {
                entries.add(entry);
            } else {
                duplicates.add(IniProblem.ofEntry(file, entry, "set already on line " + existing.line()));
            }
        }

        @Override
        public void endIni() {}

        @Override
        public void endSection() {}

        @Override
        public void handleComment(String comment) {}

        @Override
        public void startIni() {}
    }
}
