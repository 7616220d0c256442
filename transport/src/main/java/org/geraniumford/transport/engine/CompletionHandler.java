package org.geraniumford.transport.engine;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;

/** Reads the response stream of one completion and controls its connection. */
final class CompletionHandler implements AsyncHandler<Void>, EngineStream {
    private static final int MAX_EVENT_BYTES = 64 * 1024;
    private static final int MAX_ERROR_BYTES = 4 * 1024;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final CompletionListener listener;
    private final ServerSentEventDecoder decoder = ServerSentEventDecoder.of(MAX_EVENT_BYTES);
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private int status;

    /** Whether the last event has arrived or the request has failed. */
    private volatile boolean ended;

    /** The connection; null before the request has one, and after its response has been read. */
    private volatile Channel channel;

    /** Whether sending the request has begun, so that the engine may have run it. */
    private volatile boolean written;

    private volatile boolean paused;
    private volatile boolean aborted;

    CompletionHandler(CompletionListener listener) {
        this.listener = listener;
    }

    // -- commands

    @Override
    public void pause() {
        paused = true;
        applyPause();
    }

    @Override
    public void resume() {
        paused = false;
        applyPause();
    }

    @Override
    public void abort() {
        aborted = true;
        Channel connection = channel;
        if (connection != null) {
            connection.eventLoop().execute(() -> closeUnlessEnded(connection));
        }
    }

    private void closeUnlessEnded(Channel connection) {
        if (!ended) {
            connection.close();
        }
    }

    private void applyPause() {
        Channel connection = channel;
        if (connection != null) {
            connection.eventLoop().execute(() -> connection.config().setAutoRead(!paused || ended));
        }
    }

    // -- connection

    @Override
    public void onTcpConnectSuccess(InetSocketAddress address, Channel connected) {
        attach(connected);
    }

    @Override
    public void onConnectionPooled(Channel pooled) {
        attach(pooled);
    }

    @Override
    public void onRequestSend(NettyRequest request) {
        written = true;
    }

    private void attach(Channel connection) {
        channel = connection;
        if (aborted) {
            connection.close();
        }
    }

    // -- response

    @Override
    public State onStatusReceived(HttpResponseStatus received) {
        status = received.getStatusCode();
        return State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        return State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        byte[] bytes = part.getBodyPartBytes();
        if (status != OK) {
            errorBody.write(bytes, 0, Math.min(bytes.length, MAX_ERROR_BYTES - errorBody.size()));
            return errorBody.size() < MAX_ERROR_BYTES ? State.CONTINUE : State.ABORT;
        }
        List<CompletionEvent> events =
                decoder.decode(bytes).stream().map(EngineJson::completionEvent).toList();
        if (!events.isEmpty() && !ended && !aborted) {
            ended = events.get(events.size() - 1) instanceof CompletionEvent.End;
            listener.received(events);
        }
        return State.CONTINUE;
    }

    @Override
    public Void onCompleted() {
        if (!ended) {
            fail(status == OK ? streamBroken("the engine ended the stream early") : statusRefusal());
        }
        ended = true;
        // Enables reading again, because the connection may be reused for another request.
        applyPause();
        channel = null;
        return null;
    }

    @Override
    public void onThrowable(Throwable failure) {
        if (!ended) {
            String detail = "engine: " + failure.getClass().getSimpleName();
            fail(written ? streamBroken(detail) : Refusal.notRun(Reason.CONNECT_FAILED, detail));
        }
        ended = true;
    }

    private void fail(Refusal refusal) {
        if (!aborted) {
            listener.failed(refusal);
        }
    }

    private static Refusal streamBroken(String detail) {
        return Refusal.of(Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN, detail);
    }

    private Refusal statusRefusal() {
        String error = EngineJson.error(errorBody.toString(StandardCharsets.UTF_8));
        if (status == CONFLICT && error.equals("wrong_weights")) {
            return Refusal.notRun(Reason.WRONG_WEIGHTS, "the engine holds other weights");
        }
        if (status == UNAVAILABLE && error.equals("overloaded")) {
            return Refusal.notRun(Reason.QUEUE_FULL, "the engine's waiting list is full");
        }
        return Refusal.of(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, "the engine answered with status " + status);
    }
}
