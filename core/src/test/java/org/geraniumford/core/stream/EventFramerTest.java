package org.geraniumford.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class EventFramerTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Test
    void shouldBufferAnEventWhenItIsIncomplete() {
        EventFramer framer = EventFramer.empty();
        assertThat(text(framer.feed(bytes("id: 1\ndata: a\n\nid: 2\ndata")))).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(framer.lastEventId()).contains("1");
        assertThat(framer.hasPartialEvent()).isTrue();
        assertThat(text(framer.feed(bytes(": b\n\n")))).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(framer.lastEventId()).contains("2");
        assertThat(framer.hasPartialEvent()).isFalse();
    }

    @Test
    void shouldDiscardTheIncompleteEventWhenTheStreamIsResumedElsewhere() {
        EventFramer framer = EventFramer.empty();
        framer.feed(bytes("id: 1\n\nid: 2\nda"));
        framer.discardPartialEvent();
        assertThat(text(framer.feed(bytes("id: 2\n\n")))).isEqualTo("id: 2\n\n");
    }

    @Test
    void shouldParseTheIdWhenItFollowsOtherLinesAndLinesEndWithCarriageReturns() {
        EventFramer framer = EventFramer.empty();
        framer.feed(bytes("x-weight-versions: 2\r\nid:17\r\ndata: x\r\n\r\n"));
        assertThat(framer.lastEventId()).contains("17");
    }

    @Test
    void shouldReturnTheSameBytesWhenTheyArriveInArbitraryRuns() {
        StringBuilder stream = new StringBuilder();
        for (int i = 1; i <= 20; i++) {
            stream.append("id: ")
                    .append(i)
                    .append("\ndata: ")
                    .append("x".repeat(i))
                    .append("\n\n");
        }
        Random random = new Random(5);
        for (int round = 0; round < 200; round++) {
            EventFramer framer = EventFramer.empty();
            StringBuilder out = new StringBuilder();
            int start = 0;
            while (start < stream.length()) {
                int end = Math.min(stream.length(), start + 1 + random.nextInt(30));
                out.append(text(framer.feed(bytes(stream.substring(start, end)))));
                start = end;
            }
            assertThat(out.toString()).isEqualTo(stream.toString());
            assertThat(framer.lastEventId()).contains("20");
        }
    }

    // -- the end of a stream

    /** Guards against a resumed stream without events that hides the event within which the first one broke off. */
    @Test
    void shouldNotBeCompleteWithoutEventsWhenAnEarlierAttemptBrokeOffWithinAnEvent() {
        EventFramer framer = EventFramer.empty();
        framer.feed(bytes("id: 1\n\nid: 2\nda"));
        framer.discardPartialEvent();
        assertThat(framer.isCompleteAtEnd(true)).isFalse();
        framer.discardPartialEvent();
        assertThat(framer.isCompleteAtEnd(true)).isFalse();
        framer.feed(bytes("id: 2\n\n"));
        assertThat(framer.isCompleteAtEnd(true)).isTrue();
        framer.discardPartialEvent();
        assertThat(framer.isCompleteAtEnd(true)).isTrue();
    }

    @Test
    void shouldNotBeCompleteWhenTheStreamEndsWithinAnEvent() {
        EventFramer framer = EventFramer.empty();
        framer.feed(bytes("id: 1\n\nid: 2\n"));
        assertThat(framer.isCompleteAtEnd(true)).isFalse();
        assertThat(framer.isCompleteAtEnd(false)).isFalse();
        framer.feed(bytes("\n"));
        assertThat(framer.isCompleteAtEnd(false)).isTrue();
    }

    @Test
    void shouldBeCompleteWithoutAnyEventOnlyWhenTheEndIsMarked() {
        EventFramer framer = EventFramer.empty();
        framer.feed(bytes(": a comment\n\n"));
        assertThat(framer.isCompleteAtEnd(true)).isTrue();
        assertThat(framer.isCompleteAtEnd(false)).isFalse();
    }

    @Test
    void shouldJudgeAResumedStreamByItsOwnEvents() {
        EventFramer framer = EventFramer.empty();
        framer.feed(bytes("id: 1\n\nid: 2\nda"));
        framer.discardPartialEvent();
        assertThat(framer.isCompleteAtEnd(false)).isFalse();
        assertThat(framer.lastEventId()).contains("1");
    }

    @Test
    void shouldBeOversizedWhenAnEventDoesNotEnd() {
        EventFramer framer = EventFramer.empty();
        framer.feed(bytes("data: " + "x".repeat(EventFramer.MAX_EVENT_BYTES - 6)));
        assertThat(framer.isOversized()).isFalse();
        framer.feed(bytes("x"));
        assertThat(framer.isOversized()).isTrue();
        assertThat(framer.feed(bytes("\n\n"))).isEmpty();
    }

    @Test
    void shouldEndAnEventWithAnyLineEndWhereverTheBytesAreSplit() {
        for (String lineEnd : new String[] {"\n", "\r", "\r\n"}) {
            byte[] stream = bytes("id: 1" + lineEnd + "data: a" + lineEnd + lineEnd + "id: 2" + lineEnd + lineEnd);
            for (int split = 0; split <= stream.length; split++) {
                EventFramer framer = EventFramer.empty();
                String out = text(framer.feed(Arrays.copyOf(stream, split)))
                        + text(framer.feed(Arrays.copyOfRange(stream, split, stream.length)));
                assertThat(out).isEqualTo(text(stream));
                assertThat(framer.lastEventId()).contains("2");
                assertThat(framer.isCompleteAtEnd(false)).isTrue();
            }
        }
    }
}
