package org.geraniumford.transport.response;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a body in chunks that counts as whole though another response continues its end. */
final class CutTrailerTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final List<String> NEXT_RESPONSES = List.of(
            "HTTP/1.1 500 Failed\r\nName: id\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 500 Failed\r\nName: id\r\nContent-Length: 6\r\n\r\nfailed",
            "HTTP/1.1 500 Failed\r\nName: id\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n",
            "HTTP/1.1 500\r\nName: id\r\n\r\n",
            "HTTP/1.1 500 Failed\r\n\r\n");

    /** Returns the decoded content of a response that counts as whole; null if it does not. */
    private static String wholeBody(String received, boolean byteByByte) {
        EmbeddedChannel channel = new EmbeddedChannel(new StrictResponseDecoder());
        for (String part : byteByByte ? received.split("") : new String[] {received}) {
            channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII));
        }
        StringBuilder body = new StringBuilder();
        String whole = null;
        boolean ended = false;
        for (HttpObject next = channel.readInbound(); next != null; next = channel.readInbound()) {
            ended = ended || next.decoderResult().isFailure();
            if (!ended && next instanceof HttpContent content) {
                body.append(content.content().toString(StandardCharsets.US_ASCII));
                ended = next instanceof LastHttpContent;
                whole = ended ? body.toString() : whole;
            }
            ReferenceCountUtil.release(next);
        }
        channel.finishAndReleaseAll();
        return whole;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "4\r\ntext\r\n0\r\n",
                "04;a=b\r\ntext\r\n0;name=value\r\n",
                "4\r\ntext\r\n00;name=\"value\"\r\n",
                "4\r\ntext\r\n0\r\nSum: 1\r\n",
                "4\r\ntext\r\n0\r\nSum: 1\r\nOther: 2\r\n"
            })
    void shouldNotEndABodyThatAnotherResponseContinues(String body) {
        assertThat(wholeBody(HEAD + body + "\r\n", false)).isEqualTo("text");
        List<String> whole = new ArrayList<>();
        for (String next : NEXT_RESPONSES) {
            for (int cut = 0; cut < body.length() + 2; cut++) {
                String received = HEAD + (body + "\r\n").substring(0, cut) + next;
                for (boolean byteByByte : new boolean[] {false, true}) {
                    if (wholeBody(received, byteByByte) != null) {
                        whole.add(received.substring(HEAD.length()));
                    }
                }
            }
        }
        assertThat(whole).isEmpty();
    }
}
