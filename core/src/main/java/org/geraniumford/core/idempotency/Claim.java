package org.geraniumford.core.idempotency;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;
import org.geraniumford.core.configuration.Sha256;

/**
 * What the claims table says of one idempotency key: the attempt that may have run, and its answer once known.
 *
 * @param requestDigest identifies the request, so that the key cannot be used for another one
 * @param token the attempt's unique token
 * @param issuedMicros when the token was made, in microseconds since the epoch
 * @param host the host that the call is sent to
 * @param outcome whether the answer is known
 * @param response the answer; empty while it is not known, or if it was too large to keep
 */
public record Claim(
        String requestDigest,
        String token,
        long issuedMicros,
        String host,
        Outcome outcome,
        Optional<CallResponse> response) {
    /** The table that holds the claims. */
    public static final String TABLE = "claims";

    /** The longest answer body that is kept, in characters. */
    public static final int MAX_BODY_CHARS = 32 * 1024;

    private static final String SEPARATOR = " ";
    private static final int FIELD_COUNT = 8;

    /** Whether an attempt's answer is known. */
    public enum Outcome {
        /** The attempt may still run, or its answer was lost. */
        OPEN,
        /** The attempt ran. */
        DONE
    }

    /** Checks the components. */
    public Claim {
        requireNonNull(requestDigest, "requestDigest is null");
        requireNonNull(token, "token is null");
        requireNonNull(host, "host is null");
        requireNonNull(outcome, "outcome is null");
        requireNonNull(response, "answer is null");
    }

    // -- construction

    /**
     * Creates the claim of an attempt that has not been sent.
     *
     * @param requestDigest identifies the request
     * @param token the attempt's unique token
     * @param issuedMicros when the token was made, in microseconds since the epoch
     * @param host the host that the call will be sent to
     * @return an open claim
     */
    public static Claim open(String requestDigest, String token, long issuedMicros, String host) {
        return new Claim(requestDigest, token, issuedMicros, host, Outcome.OPEN, Optional.empty());
    }

    /**
     * Reads a row's text.
     *
     * @param text what {@link #encode} wrote
     * @return the claim, or empty if the text is not one
     */
    public static Optional<Claim> decode(String text) {
        String[] fields = text.split(SEPARATOR, -1);
        if (fields.length != FIELD_COUNT) {
            return Optional.empty();
        }
        try {
            int status = Integer.parseInt(fields[5]);
            Optional<CallResponse> answer = status == 0
                    ? Optional.empty()
                    : Optional.of(new CallResponse(status, decodeBase64(fields[6]), decodeBase64(fields[7])));
            return Optional.of(new Claim(
                    fields[0],
                    decodeBase64(fields[1]),
                    Long.parseLong(fields[2]),
                    decodeBase64(fields[3]),
                    Outcome.valueOf(fields[4]),
                    answer));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Names the row of an idempotency key.
     *
     * @param customer the customer's name
     * @param idempotencyKey the caller's key
     * @return a row name that no other customer or key has
     */
    public static String rowName(String customer, String idempotencyKey) {
        return Sha256.hex(Sha256.hex(customer) + Sha256.hex(idempotencyKey));
    }

    // -- combinators

    /**
     * Returns this claim with the answer of its attempt.
     *
     * @param result the answer; its body is kept up to {@link #MAX_BODY_CHARS}
     * @return a claim that is done
     */
    public Claim withResponse(CallResponse result) {
        return new Claim(
                requestDigest,
                token,
                issuedMicros,
                host,
                Outcome.DONE,
                Optional.of(result).filter(kept -> kept.body().length() <= MAX_BODY_CHARS));
    }

    // -- queries

    /**
     * Returns the text to keep in the row.
     *
     * @return the components, those of free text in Base64
     */
    public String encode() {
        return String.join(
                SEPARATOR,
                requestDigest,
                encodeBase64(token),
                Long.toString(issuedMicros),
                encodeBase64(host),
                outcome.name(),
                Integer.toString(response.map(CallResponse::status).orElse(0)),
                encodeBase64(response.map(CallResponse::contentType).orElse("")),
                encodeBase64(response.map(CallResponse::body).orElse("")));
    }

    private static String encodeBase64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String decodeBase64(String coded) {
        return new String(Base64.getDecoder().decode(coded), StandardCharsets.UTF_8);
    }
}
