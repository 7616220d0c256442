package org.geraniumford.daemon.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.geraniumford.core.stream.EventFramer;

/** Reads a streamed response and records the time of its first token. */
final class ResponseReader implements AsyncHandler<Outcome> {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";
    private static final int OK = 200;
    private static final int MAX_ERROR_BYTES = 64 * 1024;

    private final int customer;
    private final LongSupplier elapsedMicros;
    private final EventFramer events = EventFramer.empty();
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private int status;
    private long firstTokenMicros = -1;
    private boolean done;
    private String reason = "";
    private int cachedBlocks;
    private int blocks;
    private int attempts;

    /**
     * Creates a reader.
     *
     * @param customer the customer's number, from 0
     * @param elapsedMicros supplies the time since the scheduled time of sending, in microseconds of the modelled
     *     deployment
     */
    ResponseReader(int customer, LongSupplier elapsedMicros) {
        this.customer = customer;
        this.elapsedMicros = elapsedMicros;
    }

    // -- the response

    @Override
    public State onStatusReceived(HttpResponseStatus responseStatus) {
        status = responseStatus.getStatusCode();
        return State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        return State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart bodyPart) {
        if (status == OK) {
            readLines(events.feed(bodyPart.getBodyPartBytes()));
            return events.isOversized() ? State.ABORT : State.CONTINUE;
        }
        errorBody.writeBytes(bodyPart.getBodyPartBytes());
        return errorBody.size() <= MAX_ERROR_BYTES ? State.CONTINUE : State.ABORT;
    }

    @Override
    public void onThrowable(Throwable failure) {
        reason = failure.getClass().getSimpleName();
    }

    @Override
    public Outcome onCompleted() {
        readLines(errorBody.toByteArray());
        return outcome();
    }

    // -- queries

    /** Returns the outcome so far. A stream without its end marker counts as broken off. */
    Outcome outcome() {
        boolean brokenOff = status == OK && !done && reason.isEmpty();
        String outcomeReason = brokenOff ? "stream_without_end" : reason;
        return new Outcome(
                customer,
                status,
                outcomeReason,
                firstTokenMicros,
                elapsedMicros.getAsLong(),
                cachedBlocks,
                blocks,
                attempts);
    }

    // -- events and summary

    /** Reads whole events or the JSON body of a refusal. */
    private void readLines(byte[] bytes) {
        new String(bytes, StandardCharsets.UTF_8).lines().map(String::trim).forEach(this::readLine);
    }

    /** Reads one line: an event or the end marker of the stream, or the JSON body of a refusal. */
    private void readLine(String text) {
        if (text.equals(DATA + DONE)) {
            done = true;
        } else if (text.startsWith(DATA)) {
            readEvent(text.substring(DATA.length()));
        } else if (status != OK && text.startsWith("{")) {
            readEvent(text);
        }
    }

    /** Reads the reason of an error, notices the first token, and reads the router's summary, if the JSON has them. */
    private void readEvent(String json) {
        try {
            JsonNode event = MAPPER.readTree(json);
            if (event.has("error")) {
                reason = event.path("error").path("reason").asText("unknown");
            }
            if (firstTokenMicros < 0 && hasText(event)) {
                firstTokenMicros = elapsedMicros.getAsLong();
            }
            if (event.has("geraniumford")) {
                readSummary(event.get("geraniumford"));
            }
        } catch (JsonProcessingException e) {
            reason = "malformed_answer";
        }
    }

    private static boolean hasText(JsonNode event) {
        JsonNode choice = event.path("choices").path(0);
        return !choice.path("text").asText("").isEmpty()
                || !choice.path("delta").path("content").asText("").isEmpty();
    }

    /** Reads the routing figures, which the router sends in the last event of a complete response. */
    private void readSummary(JsonNode summary) {
        cachedBlocks = summary.path("cached_pieces").asInt();
        blocks = summary.path("pieces").asInt();
        attempts = summary.path("attempts").asInt();
    }
}
