package org.geraniumford.transport.response;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class EmbeddedHeadDetectorTest {
    private static final String HEAD = "HTTP/1.1 500 Failed\r\nDate: today\r\nName: id\r\n\r\n";

    private static EmbeddedHeadDetector empty() {
        return EmbeddedHeadDetector.of(Set.of("name", "signature"));
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private static boolean finds(String... chunks) {
        EmbeddedHeadDetector detector = empty();
        List.of(chunks).forEach(chunk -> detector.feed(bytes(chunk)));
        return detector.isFound();
    }

    private static boolean findsWithSurplus(String body, String surplus) {
        EmbeddedHeadDetector detector = empty();
        detector.feed(bytes(body));
        detector.endBody();
        detector.feed(bytes(surplus));
        return detector.isFound();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                HEAD,
                "text" + HEAD,
                "HTTP/1.HTTP" + HEAD,
                "HTTP/1.1 200 OK\r\n\r\nHTTP/1.0 200\r\nSIGNATURE:s",
                "HTTP/1.1 200 OHTTP/1.1 200 OK\r\nName:",
                "HTTP/1.1 200 OK\r\nA: H\r\nno colon\r\nB: HTTP/1.1\r\nname: 1"
            })
    void shouldFindAHeadWhereverItIsSplit(String body) {
        assertThat(finds(body)).isTrue();
        assertThat(finds(body.split(""))).isTrue();
        for (int split = 0; split <= body.length(); split++) {
            assertThat(finds(body.substring(0, split), body.substring(split)))
                    .as("split at " + split)
                    .isTrue();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "H",
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 OK\r\n\r\nName: 1\r\n",
                "HTTP/1.1 200 OK\nName: 1\n",
                "HTTP/1.1 200 OK\rName: 1\r",
                "HTTP/1.1 200 OK\r\nOther-Name: 1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nOther: Name: 1\r\n\r\n",
                "HTTP/2.0 200 OK\r\nName: 1\r\n",
                "HTTP/1.1 20x OK\r\nName: 1\r\n",
                "Name: 1\r\nSignature: 2\r\n"
            })
    void shouldNotFindAHeadInATextThatOnlyMentionsOne(String body) {
        assertThat(finds(body)).isFalse();
        assertThat(finds(body.split(""))).isFalse();
    }

    @Test
    void shouldFindAHeadThatBeginsWithinTheBodyAndContinuesBehindIt() {
        for (int split = 1; split < HEAD.indexOf("Name:"); split++) {
            assertThat(findsWithSurplus("text" + HEAD.substring(0, split), HEAD.substring(split)))
                    .as("split at " + split)
                    .isTrue();
        }
    }

    @Test
    void shouldFindAHeadOfAnyFieldsThatBeginsWithinTheBodyAndContinuesBehindIt() {
        String head = "HTTP/1.1 500 Failed\r\nDate: today\r\nAge: 1\r\n\r\n";
        for (int split = 1; split < head.indexOf(": 1"); split++) {
            assertThat(findsWithSurplus("text" + head.substring(0, split), head.substring(split)))
                    .as("split at " + split)
                    .isTrue();
        }
        assertThat(findsWithSurplus("text HTTP/1.1 20", "0 OK")).isTrue();
    }

    @Test
    void shouldNotFindAHeadThatBeginsBehindTheBody() {
        assertThat(findsWithSurplus("text", HEAD)).isFalse();
        assertThat(findsWithSurplus("text HTTP/1.1 200 OK", HEAD)).isFalse();
        assertThat(findsWithSurplus("text HTTP/1.1 200 OK", "\r\n\r\nName: 1")).isFalse();
        assertThat(findsWithSurplus("text HTTP/1.1 200 OK", "\r\nno name: 1")).isFalse();
        assertThat(findsWithSurplus("text HTTP/1.1 200 OK", "\r\n: 1")).isFalse();
    }

    @Test
    void shouldNotFindAHeadThatIsLargerThanAnyIsRead() {
        String padding = "A: " + "b".repeat(StrictResponseDecoder.MAX_HEAD_BYTES) + "\r\n";
        assertThat(finds("HTTP/1.1 200 OK\r\n" + padding + "Name: 1")).isFalse();
    }

    // -- bodies that end within a head

    @ParameterizedTest
    @ValueSource(
            strings = {
                HEAD,
                "HTTP/1.0 404 Not Found\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 \r\nA: 1\r\n\r\n",
                "HTTP/1.1 500 Failed\nDate: today\nContent-Length: 0\n\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n\r\n"
            })
    void shouldLeaveTheEndOpenUntilAHeadThatBeginsWithinTheBodyIsFound(String head) {
        for (int split = 1; split < head.length(); split++) {
            EmbeddedHeadDetector detector = empty();
            detector.feed(bytes("text" + head.substring(0, split)));
            detector.endBody();
            for (int next = split; next < head.length() && !detector.isFound(); next++) {
                assertThat(detector.bodyEnd())
                        .as("split at " + split + ", next at " + next)
                        .isNotEqualTo(BodyEnd.PLAIN);
                detector.feed(bytes(head.substring(next, next + 1)));
            }
            assertThat(detector.isFound()).as("split at " + split).isTrue();
        }
    }

    @Test
    void shouldWaitLongerForAHeadThanForALetterThatMayBeginOne() {
        EmbeddedHeadDetector detector = empty();
        detector.feed(bytes("text H"));
        assertThat(detector.bodyEnd()).isEqualTo(BodyEnd.FIRST_LETTER);
        detector.feed(bytes("T"));
        assertThat(detector.bodyEnd()).isEqualTo(BodyEnd.HEAD);
        assertThat(BodyEnd.HEAD.silence()).isGreaterThan(BodyEnd.FIRST_LETTER.silence());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "text", "HTTP/2", "HTTP/1.1 200 OK\r\n\r\n", "http/1.1 200 OK", "HTTP/1.1 OK", "h"})
    void shouldNotLeaveTheEndOfAPlainBodyOpen(String body) {
        EmbeddedHeadDetector detector = empty();
        detector.feed(bytes(body));
        assertThat(detector.bodyEnd()).isEqualTo(BodyEnd.PLAIN);
        detector.endBody();
        detector.feed(bytes("HTTP/1.1 2"));
        assertThat(detector.bodyEnd()).isEqualTo(BodyEnd.PLAIN);
    }

    @Test
    void shouldCloseAnOpenEndWhenWhatFollowsIsNoHead() {
        for (String surplus : List.of("x", "HTTP/1.1 200 OK\r\n", "\r\n", " ")) {
            EmbeddedHeadDetector detector = empty();
            detector.feed(bytes("text HTT"));
            detector.endBody();
            detector.feed(bytes(surplus));
            assertThat(detector.bodyEnd()).as(surplus).isEqualTo(BodyEnd.PLAIN);
            assertThat(detector.isFound()).as(surplus).isFalse();
        }
    }
}
