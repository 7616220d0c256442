package org.geraniumford.transport.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
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
        assertThat(line).doesNotContainPattern("[\\p{Cntrl}\\u0080-\\u009f\u2028\u2029]");
        assertThat(new String(line.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8))
                .isEqualTo(line);
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
        Pattern escapes = Pattern.compile("\\\\(u[0-9a-f]{4}|.)", Pattern.DOTALL);
        return escapes.matcher(text).replaceAll(escape -> switch (escape.group(1)
                .charAt(0)) {
            case 'n' -> "\n";
            case 'r' -> "\r";
            case 'u' ->
                Matcher.quoteReplacement(
                        String.valueOf((char) Integer.parseInt(escape.group(1).substring(1), 16)));
            default -> Matcher.quoteReplacement(escape.group(1));
        });
    }
}
