package org.geraniumford.transport.response;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import org.asynchttpclient.netty.channel.ChannelManager;
import org.geraniumford.transport.log.LogEvent;

/**
 * The codec of a connection of AsyncHttpClient, for one request at a time. Reads only responses whose heads are sound,
 * and closes the connection when bytes arrive that belong to no request, so that they are not read as the start of the
 * next response.
 */
public final class StrictClientCodec extends CombinedChannelDuplexHandler<StrictResponseDecoder, HttpRequestEncoder> {
    private final ClientResponseDecoder decoder;

    private StrictClientCodec(ClientResponseDecoder decoder) {
        super(decoder, new HttpRequestEncoder());
        this.decoder = decoder;
    }

    // -- commands

    /**
     * Replaces AsyncHttpClient's own codec on a new connection. For the client's additional channel initializer.
     *
     * @param channel the connection, with AsyncHttpClient's handlers in its pipeline
     */
    public static void install(Channel channel) {
        channel.pipeline()
                .replace(
                        ChannelManager.HTTP_CLIENT_CODEC,
                        ChannelManager.HTTP_CLIENT_CODEC,
                        new StrictClientCodec(new ClientResponseDecoder()));
    }

    // -- encoding

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof HttpRequest request) {
            decoder.expectResponseTo(request);
        }
        super.write(context, message, promise);
    }

    // -- decoding

    /** Decodes the response to the request that was written last. */
    private static final class ClientResponseDecoder extends StrictResponseDecoder {
        private boolean headRequest;

        /** Whether a request has been written whose response is not complete. */
        private boolean expecting;

        /** Whether the response that is being read is an interim one, which another one follows. */
        private boolean interim;

        /** Whether the connection has carried bytes that belong to no request. */
        private boolean surplus;

        void expectResponseTo(HttpRequest request) {
            headRequest = request.method().equals(HttpMethod.HEAD);
            expecting = true;
        }

        /** Decodes responses to HEAD requests without a body, whatever their header fields announce. */
        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return headRequest || super.isContentAlwaysEmpty(message);
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
            if (expecting && !surplus) {
                decodeExpected(context, buffer, out);
            }
            if ((!expecting || surplus) && buffer.isReadable()) {
                closeAfterSurplusBytes(context, buffer);
            }
        }

        private void decodeExpected(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
            int decoded = out.size();
            super.decode(context, buffer, out);
            out.subList(decoded, out.size()).forEach(this::recordDecoded);
        }

        private void recordDecoded(Object message) {
            if (message instanceof HttpResponse head) {
                interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            }
            if (message instanceof LastHttpContent && !interim) {
                expecting = false;
            }
        }

        /** Closes the connection before the client receives the end of the response, and so does not reuse it. */
        private void closeAfterSurplusBytes(ChannelHandlerContext context, ByteBuf buffer) {
            if (!surplus) {
                LogEvent.of("bytes_after_response")
                        .with("server", context.channel().remoteAddress())
                        .with("undecoded", buffer.readableBytes())
                        .info();
            }
            surplus = true;
            buffer.skipBytes(buffer.readableBytes());
            context.close();
        }
    }
}
