package org.geraniumford.core.ini;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class IniDocumentTest {
    private static IniDocument parse(String... lines) {
        return IniDocument.of("a.ini", String.join("\n", lines));
    }

    @Test
    void shouldReturnTheLineOfEachEntryWhenCommentsAndBlankLinesAreBetween() {
        IniDocument document = parse("; top", "[listen]", "", "link = 127.0.0.1:80", "# note", "caller = \\x:1");
        assertThat(document.problems()).isEmpty();
        assertThat(document.entries())
                .containsExactly(
                        new IniEntry("listen", "link", "127.0.0.1:80", 4),
                        new IniEntry("listen", "caller", "\\x:1", 6));
    }

    @Test
    void shouldReportEveryInvalidLineWhenSeveralCannotBeParsed() {
        IniDocument document = parse("stray = 1", "[a]", "no operator", "x = 1", "[b", "y = 2");
        assertThat(document.problems()).extracting(IniProblem::line).containsExactly(1, 3, 5);
        assertThat(document.entry("a", "x")).map(IniEntry::value).contains("1");
    }

    @Test
    void shouldReportBothLinesWhenAKeyIsSetTwice() {
        IniDocument document = parse("[a]", "x = 1", "[b]", "x = 3", "[a]", "x = 2");
        assertThat(document.problems())
                .extracting(IniProblem::toString)
                .containsExactly("a.ini:6: [a] x: set already on line 2");
    }

    @Test
    void shouldReportTheFileWhenItIsNotUtf8() {
        IniDocument document = IniDocument.of("a.ini", new byte[] {'[', 'a', ']', '\n', (byte) 0xff});
        assertThat(document.problems())
                .extracting(IniProblem::toString)
                .containsExactly("a.ini: the file is not UTF-8 text");
    }

    @Property(seed = "7", tries = 1000)
    void shouldParseOrReportProblemsWhenBytesAreArbitrary(@ForAll byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        IniDocument document = IniDocument.of("a.ini", text);
        int lines = text.split("\n", -1).length;
        assertThat(document.entries())
                .allSatisfy(entry -> assertThat(entry.line()).isBetween(1, lines));
        assertThat(document.problems())
                .allSatisfy(problem -> assertThat(problem.line()).isBetween(1, lines));
    }
}
