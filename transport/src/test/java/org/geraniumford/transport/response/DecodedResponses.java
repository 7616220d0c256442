package org.geraniumford.transport.response;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderResultProvider;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** A connection on which a test writes a server's bytes, and what {@link StrictResponseDecoder} makes of them. */
final class DecodedResponses {
    private final StrictResponseDecoder decoder = new StrictResponseDecoder();
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);
    private final List<HttpResponse> soundHeads = new ArrayList<>();
    private final List<Throwable> failures = new ArrayList<>();
    private final List<String> trailers = new ArrayList<>();
    private final StringBuilder body = new StringBuilder();
    private int messages;
    private int complete;

    /** Decodes pieces that arrive one after the other. */
    static DecodedResponses of(String... pieces) {
        DecodedResponses decoded = new DecodedResponses();
        for (String piece : pieces) {
            decoded.write(piece);
        }
        return decoded;
    }

    /** Decodes a text whose bytes arrive one at a time. */
    static DecodedResponses ofSingleBytes(String text) {
        return of(text.split("(?s)(?<=.)"));
    }

    /** Decodes the next bytes, given as ISO 8859-1. */
    void write(String piece) {
        channel.writeInbound(Unpooled.wrappedBuffer(piece.getBytes(StandardCharsets.ISO_8859_1)));
        readAll();
    }

    /** Ends the server's bytes. */
    void close() {
        channel.finish();
        readAll();
    }

    private void readAll() {
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            messages++;
            record(message);
            ReferenceCountUtil.release(message);
        }
    }

    private void record(Object message) {
        Throwable cause = ((DecoderResultProvider) message).decoderResult().cause();
        if (cause != null) {
            failures.add(cause);
            return;
        }
        if (message instanceof HttpResponse head) {
            soundHeads.add(head);
        }
        if (message instanceof HttpContent content) {
            body.append(content.content().toString(StandardCharsets.ISO_8859_1));
        }
        if (message instanceof LastHttpContent last) {
            complete++;
            trailers.addAll(linesOf(last.trailingHeaders()));
        }
    }

    private static List<String> linesOf(HttpHeaders fields) {
        return fields.entries().stream()
                .map(field -> field.getKey() + ": " + field.getValue())
                .toList();
    }

    // -- what was decoded

    /** Returns the sound heads, each as its status line and its fields with one space before the value. */
    List<String> soundHeads() {
        return soundHeads.stream().map(DecodedResponses::textOf).toList();
    }

    private static String textOf(HttpResponse head) {
        return head.protocolVersion() + " " + head.status().code() + " "
                + head.status().reasonPhrase()
                + linesOf(head.headers()).stream().map("\r\n"::concat).collect(Collectors.joining());
    }

    List<Integer> statuses() {
        return soundHeads.stream().map(head -> head.status().code()).toList();
    }

    /** Returns why messages could not be decoded, by Netty's decoder too. */
    List<Throwable> failures() {
        return failures;
    }

    List<ResponseHeadFault> faults() {
        return failures.stream()
                .filter(failure -> failure instanceof ResponseHeadException)
                .map(failure -> ((ResponseHeadException) failure).fault())
                .toList();
    }

    List<String> trailers() {
        return trailers;
    }

    String body() {
        return body.toString();
    }

    /** Returns how many messages were decoded, heads and contents, sound or not. */
    int messages() {
        return messages;
    }

    /** Returns how many responses are complete, interim ones included. */
    int complete() {
        return complete;
    }

    int undecodedBytes() {
        return decoder.undecodedBytes();
    }
}
