package org.geraniumford.transport.response;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * Decodes responses whose heads are sound. A head is read only once it is whole; one that is not sound is passed on as
 * a message whose decoder result is a {@link ResponseHeadException}. The fields of a trailer are checked like those of
 * a head. Nothing is decoded after a fault, whether this decoder or Netty's finds it.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
    /** The maximum size of a head, and separately of a trailer, in bytes. */
    public static final int MAX_HEAD_BYTES = 16 * 1024;

    private static final byte[] STATUS_LINE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    /** CR LF CR LF. */
    private static final int END_OF_HEAD = 0x0d0a0d0a;

    private static final int END_OF_HEAD_BYTES = 4;

    /** Whether the next bytes are those of a head, rather than of a body. */
    private boolean inHead = true;

    /** How many bytes of an incomplete head have been searched for its end. */
    private int searchedBytes;

    private int lastFourBytes;

    /** Whether a line of the incomplete head ends with LF alone, so that the head may never end. */
    private boolean endsLineWithLineFeed;

    private boolean failed;

    /** Whether what is received is kept undecoded. */
    private boolean paused;

    /** Creates a decoder at the start of a connection. */
    public StrictResponseDecoder() {
        super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES).setMaxInitialLineLength(MAX_HEAD_BYTES));
    }

    // -- queries

    /**
     * Returns how many bytes have been received that belong to no decoded message.
     *
     * @return the number of bytes; positive between two responses if the server has sent more than a response
     */
    public int undecodedBytes() {
        return actualReadableBytes();
    }

    /**
     * Returns the bytes that have been received and belong to no decoded message.
     *
     * @return the bytes; valid until more are received, and not to be released
     */
    public ByteBuf undecoded() {
        return internalBuffer();
    }

    // -- commands

    /** Keeps what is received undecoded, because it belongs to no response that is awaited. */
    public void pause() {
        paused = true;
    }

    /** Decodes what is received from now on. */
    public void resume() {
        paused = false;
    }

    // -- decoding

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (paused) {
            return;
        }
        if (failed) {
            buffer.skipBytes(buffer.readableBytes());
        } else if (!inHead) {
            decodeNext(context, buffer, out);
        } else if (!startsLikeStatusLine(buffer)) {
            fail(ResponseHeadFault.NO_STATUS_LINE, buffer, out);
        } else {
            decodeHead(context, buffer, out);
        }
    }

    /** Decodes what is left at the end of the connection, where a head may be broken off. */
    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        super.decodeLast(context, buffer, out);
        if (!failed && !paused && inHead && buffer.isReadable()) {
            fail(ResponseHeadFault.BROKEN_OFF, buffer, out);
        }
    }

    private static boolean startsLikeStatusLine(ByteBuf buffer) {
        int length = Math.min(STATUS_LINE_START.length, buffer.readableBytes());
        for (int i = 0; i < length; i++) {
            if (buffer.getByte(buffer.readerIndex() + i) != STATUS_LINE_START[i]) {
                return false;
            }
        }
        return true;
    }

    private void decodeHead(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int length = headLength(buffer);
        if (endsLineWithLineFeed) {
            fail(ResponseHeadFault.LINE_END, buffer, out);
        } else if (length > 0) {
            decodeWholeHead(length, context, buffer, out);
        } else if (searchedBytes >= MAX_HEAD_BYTES + END_OF_HEAD_BYTES) {
            fail(ResponseHeadFault.TOO_LARGE, buffer, out);
        }
    }

    private void decodeWholeHead(int length, ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        String text = buffer.toString(buffer.readerIndex(), length - END_OF_HEAD_BYTES, StandardCharsets.ISO_8859_1);
        Optional<ResponseHeadFault> fault = ResponseHead.of(text).fault();
        if (fault.isPresent()) {
            fail(fault.get(), buffer, out);
        } else {
            inHead = false;
            searchedBytes = 0;
            lastFourBytes = 0;
            decodeNext(context, buffer, out);
        }
    }

    /** Returns the length of the head, with the empty line at its end; 0 if its end has not arrived. */
    private int headLength(ByteBuf buffer) {
        int readable = buffer.readableBytes();
        while (searchedBytes < readable) {
            lastFourBytes = lastFourBytes << Byte.SIZE | buffer.getUnsignedByte(buffer.readerIndex() + searchedBytes);
            searchedBytes++;
            endsLineWithLineFeed = endsLineWithLineFeed || endsWithLineFeedAlone();
            if (lastFourBytes == END_OF_HEAD) {
                return searchedBytes;
            }
        }
        return 0;
    }

    private boolean endsWithLineFeedAlone() {
        boolean afterCarriageReturn = (lastFourBytes >> Byte.SIZE & 0xff) == '\r';
        return (lastFourBytes & 0xff) == '\n' && !afterCarriageReturn;
    }

    private void decodeNext(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int decoded = out.size();
        super.decode(context, buffer, out);
        for (int i = decoded; i < out.size(); i++) {
            if (out.get(i) instanceof LastHttpContent last) {
                inHead = true;
                checkTrailer(last);
            }
            failed = failed || ((HttpObject) out.get(i)).decoderResult().isFailure();
        }
    }

    private static void checkTrailer(LastHttpContent last) {
        if (last.trailingHeaders().isEmpty()) {
            return;
        }
        StringBuilder text = new StringBuilder("HTTP/1.1 200 OK");
        last.trailingHeaders()
                .forEach(field ->
                        text.append("\r\n").append(field.getKey()).append(": ").append(field.getValue()));
        ResponseHead.of(text.toString())
                .fault()
                .ifPresent(fault -> last.setDecoderResult(DecoderResult.failure(ResponseHeadException.of(fault))));
    }

    private void fail(ResponseHeadFault fault, ByteBuf buffer, List<Object> out) {
        failed = true;
        buffer.skipBytes(buffer.readableBytes());
        HttpMessage message = createInvalidMessage();
        message.setDecoderResult(DecoderResult.failure(ResponseHeadException.of(fault)));
        out.add(message);
    }
}
