package org.geraniumford.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class HeaderTextTest {
    /** The value as the peer reads it: a byte for each character, without the spaces around it. */
    private static String sent(String text) {
        String value = HeaderText.encode(text);
        new DefaultHttpHeaders().set("Name", value);
        assertThat(value.chars()).allMatch(character -> character >= ' ' && character <= 0xff);
        return new String(value.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.ISO_8859_1).strip();
    }

    @Property(tries = 2000)
    void shouldSendTextsApartFromEachOther(
            @ForAll @StringLength(max = 40) String first, @ForAll @StringLength(max = 40) String second) {
        assertThat(sent(first).equals(sent(second))).isEqualTo(first.equals(second));
    }

    @Test
    void shouldSendNamesApartThatLookAlike() {
        List<String> names = List.of(
                "",
                " ",
                "a",
                " a",
                "a ",
                "a\n",
                "a\r\nName: 1",
                "?",
                "\u1266",
                "\u12e8",
                "\ud800",
                "\ud801",
                "\u0085",
                "UTF-8''a",
                "UTF-8''",
                "%0020a",
                "\u00e9",
                "e\u0301",
                "\u0000",
                "\u0001");
        assertThat(names.stream().map(HeaderTextTest::sent).distinct()).hasSameSizeAs(names);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"customer-1", "50% off", "\u1266\u120c \u12a8\u1270\u121b", "\u00e9t\u00e9", "\ud83d\ude00"})
    void shouldSendNamesThatAFieldCarriesInUtf8(String name) {
        assertThat(sent(name).getBytes(StandardCharsets.ISO_8859_1)).isEqualTo(name.getBytes(StandardCharsets.UTF_8));
        assertThat(HeaderText.decode(sent(name))).isEqualTo(name);
    }

    @Test
    void shouldReadAValueThatIsNotUtf8AsItIs() {
        assertThat(HeaderText.decode("\u00e9")).isEqualTo("\u00e9");
        assertThat(HeaderText.decode("\u00e1\u0089\u00a6")).isEqualTo("\u1266");
    }
}
