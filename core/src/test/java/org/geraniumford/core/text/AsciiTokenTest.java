package org.geraniumford.core.text;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class AsciiTokenTest {
    @Property(tries = 2000)
    void shouldHoldOnlyCharactersThatAHeaderFieldCanCarry(@ForAll @StringLength(max = 300) String text) {
        assertThat(AsciiToken.of(text)).matches("[A-Za-z0-9.*_+%=-]{0,80}");
    }

    @Property(tries = 2000)
    void shouldDifferWhenTheTextsDiffer(
            @ForAll @StringLength(max = 60) String first, @ForAll @StringLength(max = 60) String second) {
        assertThat(AsciiToken.of(first).equals(AsciiToken.of(second))).isEqualTo(first.equals(second));
        assertThat(AsciiToken.of(AsciiToken.of(first)))
                .satisfies(token -> assertThat(token.equals(AsciiToken.of(first)))
                        .isEqualTo(AsciiToken.of(first).equals(first)));
    }

    @Test
    void shouldDifferForNamesThatLookAlikeOnceEncoded() {
        List<String> names = Stream.of(
                        "",
                        "?",
                        "??",
                        "\ud800",
                        "\ud801",
                        "\u1266\u120c",
                        "\u12e8\u12ab",
                        "\u00e9",
                        "e\u0301",
                        "a b",
                        "a+b",
                        "a%20b",
                        "a%0020b",
                        "sha256=",
                        "x".repeat(81),
                        "x".repeat(82),
                        "\u12e8".repeat(60))
                .flatMap(name -> Stream.of(name, AsciiToken.of(name)))
                .distinct()
                .toList();
        assertThat(names.stream().map(AsciiToken::of).distinct()).hasSameSizeAs(names);
    }

    @ParameterizedTest
    @ValueSource(strings = {"customer-1", "Front.a_1", "7"})
    void shouldLeavePlainNamesAsTheyAre(String name) {
        assertThat(AsciiToken.of(name)).isEqualTo(name);
    }
}
