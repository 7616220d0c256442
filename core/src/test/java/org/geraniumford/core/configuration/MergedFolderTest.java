package org.geraniumford.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

final class MergedFolderTest {
    // -- merging

    @Test
    void shouldUseTheLaterValueOfEachKeyWhenTwoFilesContainASection() {
        MergedFolder merged = MergedFolder.ofAll(List.of(
                ConfigurationFile.of("20-brand.ini", "[class a]\nrank = 2\n"),
                ConfigurationFile.of("10-house.ini", "[class a]\nrank = 1\nfirst_token_deadline_ms = 9\n")));
        assertThat(merged.problems()).isEmpty();
        assertThat(merged.text()).isEqualTo("[class a]\nfirst_token_deadline_ms = 9\nrank = 2\n");
    }

    @Property(seed = "11", tries = 300)
    void shouldUseTheLastValueOfEachKeyWhenFilesAreMerged(@ForAll("folders") List<Map<String, String>> folder) {
        Map<String, String> expected = new TreeMap<>();
        folder.forEach(expected::putAll);
        assertThat(values(MergedFolder.ofAll(files(folder)).sections())).isEqualTo(expected);
    }

    @Property(seed = "12", tries = 300)
    void shouldReturnTheSameTextWhenTheFilesComeInAnotherOrder(@ForAll("folders") List<Map<String, String>> folder) {
        List<ConfigurationFile> reversed = new ArrayList<>(files(folder));
        Collections.reverse(reversed);
        assertThat(MergedFolder.ofAll(reversed).text())
                .isEqualTo(MergedFolder.ofAll(files(folder)).text());
    }

    @Property(seed = "13", tries = 300)
    void shouldBeAssociativeWhenThreeFilesAreMerged(
            @ForAll("file") Map<String, String> a,
            @ForAll("file") Map<String, String> b,
            @ForAll("file") Map<String, String> c) {
        IniSections x = sections(a);
        IniSections y = sections(b);
        IniSections z = sections(c);
        assertThat(x.merge(y).merge(z)).isEqualTo(x.merge(y.merge(z)));
        assertThat(IniSections.empty().merge(x)).isEqualTo(x).isEqualTo(x.merge(IniSections.empty()));
    }

    @Property(seed = "14", tries = 300)
    void shouldReturnTheSameTextWhenTheMergedTextIsParsedAgain(@ForAll("folders") List<Map<String, String>> folder) {
        String text = MergedFolder.ofAll(files(folder)).text();
        assertThat(MergedFolder.ofAll(List.of(ConfigurationFile.of("merged", text)))
                        .text())
                .isEqualTo(text);
    }

    // -- problems

    @Test
    void shouldReportFileLineAndKeyOfEachProblemWhenSeveralFilesAreInvalid() {
        MergedFolder merged = MergedFolder.ofAll(List.of(
                ConfigurationFile.of("a.ini", "rank = 1\n\n[class a]\n# note\nrank = 1\nrank = 2\n"),
                ConfigurationFile.of("b.ini", "[class b]\r\nrank = 1\r\nnonsense\r\n"),
                ConfigurationFile.of("c.ini", new byte[] {'[', (byte) 0xC3, (byte) 0x28, ']'})));
        assertThat(merged.problems())
                .extracting(ConfigurationProblem::file, ConfigurationProblem::line, ConfigurationProblem::key)
                .containsExactly(
                        tuple("a.ini", 1, "rank"),
                        tuple("a.ini", 6, "rank"),
                        tuple("b.ini", 3, ""),
                        tuple("c.ini", 0, ""));
    }

    // -- data

    @Provide
    Arbitrary<List<Map<String, String>>> folders() {
        return file().list().ofMaxSize(5);
    }

    /** Returns files, each as a map from {@code SECTION/KEY} to value. */
    @Provide
    Arbitrary<Map<String, String>> file() {
        Arbitrary<String> keys = Arbitraries.of("class a/x", "class a/y", "class b/x", "model m/x", "model m/z");
        Arbitrary<String> texts = Arbitraries.of("1", "two", "a = b", "a;b", "x \\ y", "\u1218\u1295");
        return Arbitraries.maps(keys, texts).ofMaxSize(5);
    }

    private static List<ConfigurationFile> files(List<Map<String, String>> folder) {
        List<ConfigurationFile> files = new ArrayList<>();
        folder.forEach(values -> files.add(
                ConfigurationFile.of(files.size() + ".ini", sections(values).text())));
        return files;
    }

    private static IniSections sections(Map<String, String> values) {
        Position position = new Position("test", 1);
        SortedMap<String, IniSections.Section> sections = new TreeMap<>();
        values.forEach((path, text) -> {
            String[] names = path.split("/", -1);
            SortedMap<String, IniSections.Value> section =
                    new TreeMap<>(Map.of(names[1], new IniSections.Value(text, position)));
            sections.merge(names[0], new IniSections.Section(position, section), IniSections.Section::merge);
        });
        return new IniSections(sections);
    }

    private static Map<String, String> values(IniSections sections) {
        return sections.sections().entrySet().stream()
                .flatMap(section -> section.getValue().values().entrySet().stream()
                        .map(value -> Map.entry(
                                section.getKey() + "/" + value.getKey(),
                                value.getValue().text())))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }
}
