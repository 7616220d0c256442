package org.geraniumford.transport.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

final class LogEventTest {
    private static final Pattern PAIR = Pattern.compile("([a-z_]+)=(?:\"((?:\\\\.|[^\"\\\\])*)\"|([^ \"]+))(?: |$)");

    @Property(seed = "11", tries = 1000)
    void shouldParseToTheSamePairsWhenValuesHoldAnyCharacters(@ForAll String first, @ForAll String second) {
        String line = LogEvent.of("tested")
                .with("first", first)
                .with("second", second)
                .toString();
        assertThat(line).doesNotContain("\n", "\r");
        assertThat(parse(line)).isEqualTo(Map.of("event", "tested", "first", first, "second", second));
    }

    private static Map<String, String> parse(String line) {
        Map<String, String> pairs = new LinkedHashMap<>();
        Matcher matcher = PAIR.matcher(line);
        while (matcher.find()) {
            pairs.put(matcher.group(1), matcher.group(3) == null ? unescaped(matcher.group(2)) : matcher.group(3));
        }
        return pairs;
    }

    private static String unescaped(String text) {
        return Pattern.compile("\\\\(.)", Pattern.DOTALL).matcher(text).replaceAll(escape -> switch (escape.group(1)) {
            case "n" -> "\n";
            case "r" -> "\r";
            default -> Matcher.quoteReplacement(escape.group(1));
        });
    }
}
