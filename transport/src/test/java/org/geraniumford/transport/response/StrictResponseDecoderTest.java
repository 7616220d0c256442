package org.geraniumford.transport.response;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against heads that cannot be believed, and against refusing those that can. */
final class StrictResponseDecoderTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String END = "\r\n\r\n";
    private static final String WHOLE = OK + "Content-Length: 2\r\n\r\nok";

    /** Returns a head of a size in bytes, without the empty line at its end. */
    private static String headOfSize(int bytes) {
        String start = OK + "Content-Length: 0\r\nA: ";
        return start + "a".repeat(bytes - start.length());
    }

    // -- faults

    private static Stream<Arguments> examples(ResponseHeadFault fault, String... heads) {
        return Arrays.stream(heads).map(head -> Arguments.of(fault, head));
    }

    static Stream<Arguments> unsoundHeads() {
        return Stream.concat(headsWithUnsoundLines(), headsWithUnsoundFraming());
    }

    private static Stream<Arguments> headsWithUnsoundLines() {
        return Stream.of(
                        examples(
                                ResponseHeadFault.NO_STATUS_LINE,
                                "nothing",
                                "\r\n" + OK,
                                " " + OK,
                                "http/1.1 200 OK",
                                "HTTP/2 200 OK",
                                "HTTP/1.2 200 OK",
                                "HTTP/1.1  200 OK",
                                "HTTP/1.1 2x0 OK",
                                "HTTP/1.1 099 OK",
                                "HTTP/1.1 20 OK",
                                "HTTP/1.1 2000 OK",
                                "HTTP/1.1 200OK",
                                "HTTP/1.1 20HTTP/1.1 500 Failed",
                                "HTTP/1.1 HTTP/1.1 500 Failed"),
                        examples(
                                ResponseHeadFault.SECOND_STATUS_LINE,
                                "HTTP/1.1 200 HTTP/1.1 500 Failed",
                                "HTTP/1.1 200 OHTTP/1.1 500 Failed",
                                OK + "HTTP/1.1 500 Failed",
                                OK + "NameHTTP/1.1 500 Failed",
                                OK + "Name: HTTP/1.1 500 Failed",
                                OK + "Name: valueHTTP/1.0 500",
                                OK + "Name: value\rHTTP/1.1 500 Failed",
                                OK + "Content-Length: 2HTTP/1.1 500 Failed"),
                        examples(
                                ResponseHeadFault.LINE_END,
                                "HTTP/1.1 200 OK\nName: value",
                                OK + "Name: value\nOther: value",
                                OK + "Name: value\n\nbody",
                                "HTTP/1.1 200 O\rK",
                                OK + "Name: val\rue",
                                OK + "Name: value\r"),
                        examples(
                                ResponseHeadFault.FOLDED_LINE,
                                OK + "Name: value\r\n folded",
                                OK + "Name: value\r\n\tfolded",
                                OK + " Name: value"),
                        examples(
                                ResponseHeadFault.FIELD_NAME,
                                OK + "no colon",
                                OK + ": value",
                                OK + "Name : value",
                                OK + "Two words: value",
                                OK + "Name(: value",
                                OK + "Na\u00e4me: value",
                                OK + "Na\0me: value"),
                        examples(
                                ResponseHeadFault.CONTROL_CHARACTER,
                                "HTTP/1.1 200 O\bK",
                                OK + "Name: \0",
                                OK + "Name: val\u000bue",
                                OK + "Name: value\u007f"))
                .flatMap(examples -> examples);
    }

    private static Stream<Arguments> headsWithUnsoundFraming() {
        return Stream.of(
                        examples(
                                ResponseHeadFault.LENGTH,
                                OK + "Content-Length: 2\r\nContent-Length: 3",
                                OK + "Content-Length: 2\r\ncontent-length: 2",
                                OK + "Content-Length: 2, 2",
                                OK + "Content-Length:",
                                OK + "Content-Length: -2",
                                OK + "Content-Length: +2",
                                OK + "Content-Length: 0x2",
                                OK + "Content-Length: 2 2",
                                OK + "Content-Length: 9223372036854775808"),
                        examples(
                                ResponseHeadFault.TRANSFER_ENCODING,
                                OK + "Transfer-Encoding: gzip",
                                OK + "Transfer-Encoding: gzip, chunked",
                                OK + "Transfer-Encoding: chunked, chunked",
                                OK + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                                OK + "Transfer-Encoding:"),
                        examples(
                                ResponseHeadFault.LENGTH_AND_CHUNKS,
                                OK + "Content-Length: 2\r\nTransfer-Encoding: chunked",
                                OK + "Transfer-Encoding: chunked\r\nContent-Length: 2"),
                        examples(
                                ResponseHeadFault.TOO_LARGE,
                                headOfSize(StrictResponseDecoder.MAX_HEAD_BYTES + 1),
                                headOfSize(4 * StrictResponseDecoder.MAX_HEAD_BYTES)))
                .flatMap(examples -> examples);
    }

    @ParameterizedTest
    @MethodSource("unsoundHeads")
    void shouldPassOnOnlyTheFaultWhenAHeadIsUnsound(ResponseHeadFault fault, String head) {
        for (DecodedResponses decoded :
                List.of(DecodedResponses.of(head + END), DecodedResponses.ofSingleBytes(head + END))) {
            assertThat(decoded.faults()).containsExactly(fault);
            assertThat(decoded.messages()).isEqualTo(1);
        }
    }

    @Test
    void shouldHaveAnExampleOfEachFault() {
        Stream<Object> ofWholeHeads = unsoundHeads().map(arguments -> arguments.get()[0]);
        assertThat(Stream.concat(ofWholeHeads, Stream.of(ResponseHeadFault.BROKEN_OFF))
                        .distinct())
                .containsExactlyInAnyOrder((Object[]) ResponseHeadFault.values());
    }

    @Test
    void shouldPassOnThatAHeadIsBrokenOffWhenItsConnectionEndsWithinIt() {
        String head = OK + "Name: value\r\n";
        for (int length = 1; length <= head.length(); length++) {
            DecodedResponses decoded = DecodedResponses.of(head.substring(0, length));
            assertThat(decoded.faults()).isEmpty();
            decoded.close();
            assertThat(decoded.faults()).containsExactly(ResponseHeadFault.BROKEN_OFF);
            assertThat(decoded.complete()).isZero();
        }
    }

    @ParameterizedTest
    @MethodSource("unsoundHeads")
    void shouldDecodeNothingAfterAFault(ResponseHeadFault fault, String head) {
        DecodedResponses decoded = DecodedResponses.of(head + END + WHOLE, WHOLE, WHOLE);
        decoded.close();
        assertThat(decoded.faults()).containsExactly(fault);
        assertThat(decoded.messages()).isEqualTo(1);
        assertThat(decoded.undecodedBytes()).isZero();
    }

    @ParameterizedTest
    @MethodSource("unsoundHeads")
    void shouldPassOnTheResponseBeforeAFault(ResponseHeadFault fault, String head) {
        DecodedResponses decoded = DecodedResponses.of(WHOLE + head + END);
        assertThat(decoded.statuses()).containsExactly(200);
        assertThat(decoded.body()).isEqualTo("ok");
        assertThat(decoded.complete()).isEqualTo(1);
        assertThat(decoded.faults()).containsExactly(fault);
    }

    // -- faults before the end of the head

    @ParameterizedTest
    @ValueSource(strings = {"X", "h", "HTTP/2", "HTTP/1,"})
    void shouldFailAtOnceWhenBytesDoNotBeginLikeAStatusLine(String start) {
        assertThat(DecodedResponses.of(start).faults()).containsExactly(ResponseHeadFault.NO_STATUS_LINE);
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\n", OK + "Name: value\n", OK + "\n"})
    void shouldFailAtOnceWhenALineEndsWithLineFeedAlone(String start) {
        assertThat(DecodedResponses.of(start).faults()).containsExactly(ResponseHeadFault.LINE_END);
        assertThat(DecodedResponses.ofSingleBytes(start).faults()).containsExactly(ResponseHeadFault.LINE_END);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1000, 3 * StrictResponseDecoder.MAX_HEAD_BYTES})
    void shouldKeepABoundedNumberOfBytesWhenAHeadDoesNotEnd(int pieceBytes) {
        DecodedResponses decoded = DecodedResponses.of(OK + "Name: ");
        String piece = "a".repeat(pieceBytes);
        for (int sent = 0; sent < 2 * StrictResponseDecoder.MAX_HEAD_BYTES; sent += pieceBytes) {
            decoded.write(piece);
            assertThat(decoded.undecodedBytes())
                    .isLessThanOrEqualTo(StrictResponseDecoder.MAX_HEAD_BYTES + END.length());
        }
        assertThat(decoded.faults()).containsExactly(ResponseHeadFault.TOO_LARGE);
        assertThat(decoded.undecodedBytes()).isZero();
    }

    @Test
    void shouldPassOnNothingWhenTheConnectionClosesWithinAHead() {
        String head = OK + "Content-Length: 0" + END;
        for (int cut = 1; cut < head.length(); cut++) {
            DecodedResponses decoded = DecodedResponses.of(head.substring(0, cut));
            decoded.close();
            assertThat(decoded.soundHeads()).isEmpty();
            assertThat(decoded.complete()).isZero();
        }
    }

    // -- sound heads

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 ",
                "HTTP/1.0 200 OK",
                "HTTP/1.1 404 Not Found at all",
                "HTTP/1.1 799 Unknown",
                "HTTP/1.1 200 G\u00fcltig",
                "HTTP/1.1 200 OK\r\nName: \u0080\u00e4\u00ff",
                "HTTP/1.1 200 OK\r\nName: two\twords",
                "HTTP/1.1 200 OK\r\nName: ",
                "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: value",
                "HTTP/1.1 200 OK\r\nName: one\r\nName: two",
                "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy, HTTP/2 200",
                "HTTP/1.1 200 OK\r\nName: a: b",
                "HTTP/1.1 200 OK\r\nContent-Length: 0",
                "HTTP/1.1 200 OK\r\ncontent-length: 123456789012345678",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked",
                "HTTP/1.1 204 No Content",
                "HTTP/1.1 304 Not Modified\r\nContent-Length: 5",
                "HTTP/1.1 103 Early Hints\r\nLink: a"
            })
    void shouldPassOnAHeadUnchangedWhenItIsSound(String head) {
        for (DecodedResponses decoded :
                List.of(DecodedResponses.of(head + END), DecodedResponses.ofSingleBytes(head + END))) {
            assertThat(decoded.failures()).isEmpty();
            assertThat(decoded.soundHeads()).containsExactly(head);
        }
    }

    @Test
    void shouldPassOnAHeadWhenItsStatusLineEndsWithTheStatus() {
        assertThat(DecodedResponses.of("HTTP/1.1 200\r\nContent-Length: 0" + END)
                        .statuses())
                .containsExactly(200);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Name:value", "Name: \t value", "Name:\tvalue\t ", "Name:   value   "})
    void shouldPassOnAValueWithoutTheWhiteSpaceAroundIt(String line) {
        assertThat(DecodedResponses.of(OK + line + END).soundHeads()).containsExactly(OK + "Name: value");
    }

    @Test
    void shouldPassOnAHeadWhenItIsAsLargeAsTheLimit() {
        String head = headOfSize(StrictResponseDecoder.MAX_HEAD_BYTES);
        assertThat(DecodedResponses.of(head + END).soundHeads()).containsExactly(head);
        assertThat(DecodedResponses.ofSingleBytes(head + END).soundHeads()).containsExactly(head);
    }

    // -- responses after each other

    @Test
    void shouldPassOnInterimResponsesBeforeTheFinalOne() {
        String interim = "HTTP/1.1 100 Continue" + END + "HTTP/1.1 103 Early Hints\r\nLink: a" + END;
        for (DecodedResponses decoded :
                List.of(DecodedResponses.of(interim + WHOLE), DecodedResponses.ofSingleBytes(interim + WHOLE))) {
            assertThat(decoded.statuses()).containsExactly(100, 103, 200);
            assertThat(decoded.body()).isEqualTo("ok");
            assertThat(decoded.complete()).isEqualTo(3);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 204 No Content" + END,
                "HTTP/1.1 304 Not Modified\r\nContent-Length: 5" + END,
                OK + "Transfer-Encoding: chunked" + END + "0\r\n\r\n",
                OK + "Content-Length: 0" + END
            })
    void shouldPassOnTheNextResponseWhenOneHasNoBody(String first) {
        for (DecodedResponses decoded :
                List.of(DecodedResponses.of(first + WHOLE), DecodedResponses.ofSingleBytes(first + WHOLE))) {
            assertThat(decoded.failures()).isEmpty();
            assertThat(decoded.body()).isEqualTo("ok");
            assertThat(decoded.complete()).isEqualTo(2);
            assertThat(decoded.undecodedBytes()).isZero();
        }
    }

    /** The body is not searched for heads or line ends. */
    @Test
    void shouldPassOnABodyWhateverItHolds() {
        String body = "a\nHTTP/1.1 500 Failed\r\n\r\n\0";
        String response = OK + "Content-Length: " + body.length() + END + body;
        for (DecodedResponses decoded : List.of(
                DecodedResponses.of(response + response), DecodedResponses.ofSingleBytes(response + response))) {
            assertThat(decoded.body()).isEqualTo(body + body);
            assertThat(decoded.complete()).isEqualTo(2);
        }
    }

    // -- trailers

    private static String chunked(String trailer) {
        return OK + "Transfer-Encoding: chunked" + END + "2\r\nok\r\n0\r\n" + trailer + "\r\n\r\n";
    }

    @Test
    void shouldPassOnATrailerWhenItIsSound() {
        String response = chunked("Sum: 1\r\nName: \u00e4");
        for (DecodedResponses decoded :
                List.of(DecodedResponses.of(response + WHOLE), DecodedResponses.ofSingleBytes(response + WHOLE))) {
            assertThat(decoded.failures()).isEmpty();
            assertThat(decoded.trailers()).containsExactly("Sum: 1", "Name: \u00e4");
            assertThat(decoded.body()).isEqualTo("okok");
            assertThat(decoded.complete()).isEqualTo(2);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 500 Failed", "SuHTTP/1.1 500 Failed\r\nName: a", "Sum: HTTP/1.1 500 Failed"})
    void shouldNotCompleteAResponseWhenItsTrailerHoldsAStatusLine(String trailer) {
        DecodedResponses decoded = DecodedResponses.of(chunked(trailer));
        assertThat(decoded.failures()).hasSize(1);
        assertThat(decoded.complete()).isZero();
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 500 Failed", "SuHTTP/1.1 500 Failed\r\nName: a", "Sum: HTTP/1.1 500 Failed"})
    void shouldDecodeNothingAfterATrailerThatHoldsAStatusLine(String trailer) {
        for (DecodedResponses decoded : List.of(
                DecodedResponses.of(chunked(trailer) + WHOLE, WHOLE),
                DecodedResponses.ofSingleBytes(chunked(trailer) + WHOLE))) {
            decoded.close();
            assertThat(decoded.failures()).hasSize(1);
            assertThat(decoded.statuses()).containsExactly(200);
            assertThat(decoded.body()).isEqualTo("ok");
            assertThat(decoded.complete()).isZero();
        }
    }
}
