package org.geraniumford.core.text;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class LineFieldTest {
    private static String throughUtf8(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
    }

    @Property(tries = 2000)
    void shouldReturnWhatWasEncodedAndHoldNoSeparator(@ForAll @StringLength(max = 300) String text) {
        String field = LineField.encode(text);
        assertThat(field).doesNotContain(" ", "\n", "\r", "\t", "\u0000");
        assertThat(LineField.decode(throughUtf8(field))).isEqualTo(text);
        assertThat(LineField.decode(LineField.encode(field))).isEqualTo(field);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "Walia LLM",
                "a\nb",
                "50%",
                "%0020",
                "%%0020",
                "\ud83d",
                "\ude00\ud83d",
                "\ud83d\ude00",
                "ሞዴል"
            })
    void shouldReturnOddNames(String name) {
        assertThat(LineField.decode(throughUtf8(LineField.encode(name)))).isEqualTo(name);
    }

    @ParameterizedTest
    @ValueSource(strings = {"model", "front-a-1", "ሞዴል", "a/b:c", "\u00e9"})
    void shouldLeavePlainNamesAsTheyAre(String name) {
        assertThat(LineField.encode(name)).isEqualTo(name);
    }

    @ParameterizedTest
    @ValueSource(strings = {"50%", "%", "%00", "%zzzz", "%00AB"})
    void shouldReadAPercentSignThatBeginsNoEscapeAsItself(String field) {
        assertThat(LineField.decode(field)).isEqualTo(field);
    }
}
