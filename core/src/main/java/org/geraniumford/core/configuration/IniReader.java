package org.geraniumford.core.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.geraniumford.core.ini.LineReader;
import org.ini4j.Config;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.spi.IniHandler;
import org.ini4j.spi.IniParser;

/** Reads the sections of an INI file and records the position of each value. */
final class IniReader implements IniHandler {
    private static final Config PARSER_CONFIG = parserConfig();

    private final String file;
    private final LineReader lines;
    private final SortedMap<String, IniSections.Section> sections = new TreeMap<>();
    private final List<ConfigurationProblem> problems = new ArrayList<>();
    private String sectionName = "";

    private IniReader(String file, String text) {
        this.file = file;
        this.lines = new LineReader(text);
    }

    /**
     * The result of reading a file.
     *
     * @param sections the sections that could be read
     * @param problems the problems found; reading stops at the first line that is not INI
     */
    record Result(IniSections sections, List<ConfigurationProblem> problems) {}

    // -- construction

    static Result read(String file, String text) {
        IniReader reader = new IniReader(file, text);
        reader.parse();
        return new Result(new IniSections(reader.sections), List.copyOf(reader.problems));
    }

    private static Config parserConfig() {
        Config config = new Config();
        config.setEscape(false);
        config.setEscapeNewline(false);
        config.setInclude(false);
        // Keys before the first header are in a section with an empty name, so that they do not stop the parser.
        config.setGlobalSection(true);
        config.setGlobalSectionName("");
        config.setEmptyOption(false);
        config.setMultiOption(true);
        config.setMultiSection(true);
        return config;
    }

    private void parse() {
        try {
            IniParser.newInstance(PARSER_CONFIG).parse(lines, this);
        } catch (InvalidFileFormatException e) {
            addProblem("", "this line is neither [section] nor key = value");
        } catch (IOException e) {
            throw new IllegalStateException("reading INI from a string failed", e);
        }
    }

    // -- parser events

    @Override
    public void startSection(String name) {
        sectionName = name.strip();
        if (!sectionName.isEmpty()) {
            sections.putIfAbsent(sectionName, new IniSections.Section(position(), new TreeMap<>()));
        }
    }

    @Override
    public void handleOption(String key, String value) {
        if (sectionName.isEmpty()) {
            addProblem(key, "this key stands before the first [section]");
            return;
        }
        String text = value == null ? "" : value;
        SortedMap<String, IniSections.Value> values =
                new TreeMap<>(sections.get(sectionName).values());
        IniSections.Value existing = values.putIfAbsent(key, new IniSections.Value(text, position()));
        if (existing != null) {
            addProblem(key, "this key stands in line " + existing.position().line() + " already");
            return;
        }
        sections.put(
                sectionName, new IniSections.Section(sections.get(sectionName).position(), values));
    }

    @Override
    public void handleComment(String comment) {}

    @Override
    public void startIni() {}

    @Override
    public void endIni() {}

    @Override
    public void endSection() {}

    private void addProblem(String key, String message) {
        problems.add(ConfigurationProblem.of(position(), sectionName, key, message));
    }

    private Position position() {
        return new Position(file, lines.line());
    }
}
