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

/** The entries of one INI file in order, and what is wrong with its text. */
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
     * Parses a file's bytes.
     *
     * @param file the file's name for problems
     * @param bytes the contents
     * @return the document; one that holds only a problem if the bytes are not UTF-8
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
     * Parses a file's text. A key set twice in a section is a problem, and its first value stands.
     *
     * @param file the file's name for problems
     * @param text the contents
     * @return the document, also if lines could not be understood
     */
    public static IniDocument of(String file, String text) {
        requireNonNull(file, "file is null");
        requireNonNull(text, "text is null");
        List<String> lines = new ArrayList<>(List.of(text.split("\n", -1)));
        List<IniProblem> problems = new ArrayList<>();
        Collector collector = new Collector(file);
        int broken = collector.parse(lines);
        while (broken > 0 && problems.size() < MAX_SYNTAX_PROBLEMS) {
            problems.add(IniProblem.ofLine(file, broken, "expected [section] or key = value"));
            lines.set(broken - 1, "");
            collector = new Collector(file);
            broken = collector.parse(lines);
        }
        problems.addAll(collector.duplicates);
        return new IniDocument(file, collector.entries, problems);
    }

    // -- queries

    /**
     * Returns the file's name.
     *
     * @return the name that problems carry
     */
    public String file() {
        return file;
    }

    /**
     * Returns the entries.
     *
     * @return every key of every section, in the order of the lines
     */
    public List<IniEntry> entries() {
        return entries;
    }

    /**
     * Returns what is wrong with the text.
     *
     * @return empty if every line was understood and no key is set twice
     */
    public List<IniProblem> problems() {
        return problems;
    }

    /**
     * Finds an entry.
     *
     * @param section the section
     * @param key the key
     * @return the entry, or empty if the key is not set
     */
    public Optional<IniEntry> entry(String section, String key) {
        return entries.stream()
                .filter(entry -> entry.section().equals(section) && entry.key().equals(key))
                .findFirst();
    }

    // -- parsing

    /** Gathers the entries of one pass over the text. */
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

        /** Returns the line that cannot be understood, from 1; 0 if there is none. */
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
            IniEntry earlier = firstEntries.putIfAbsent(section + '\n' + key, entry);
            if (earlier == null) {
                entries.add(entry);
            } else {
                duplicates.add(IniProblem.ofEntry(file, entry, "set already on line " + earlier.line()));
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
