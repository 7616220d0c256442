package org.geraniumford.core.idempotency;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;
import org.geraniumford.core.configuration.Sha256;

/**
 * The row of the claims table for one idempotency key: the attempt that may have run, and its response once known.
 *
 * @param requestDigest the digest of the request, so that the key cannot be used for another request
 * @param token the attempt's unique token
 * @param issuedMicros the time when the token was issued, in microseconds since the epoch
 * @param host the host to which the call is sent
 * @param outcome whether the response is known
 * @param response the response; empty while it is not known, or if it was too large to store
 */
public record Claim(
        String requestDigest,
        String token,
        long issuedMicros,
        String host,
        Outcome outcome,
        Optional<CallResponse> response) {
    /** The name of the table that contains the claims. */
    public static final String TABLE = "claims";

    /** The maximum length of a response body that is stored, in characters. */
    public static final int MAX_BODY_CHARS = 32 * 1024;

    private static final String SEPARATOR = " ";
    private static final int FIELD_COUNT = 8;

    /** Whether an attempt's response is known. */
    public enum Outcome {
        /** The attempt may still run, or its response was lost. */
        OPEN,
        /** The attempt ran, and its response was received. */
        DONE
    }

    /** Checks the components. */
    public Claim {
        requireNonNull(requestDigest, "requestDigest is null");
        requireNonNull(token, "token is null");
        requireNonNull(host, "host is null");
        requireNonNull(outcome, "outcome is null");
        requireNonNull(response, "response is null");
    }

    // -- construction

    /**
     * Creates the claim of an attempt that has not been sent.
     *
     * @param requestDigest the digest of the request
     * @param token the attempt's unique token
     * @param issuedMicros the time when the token was issued, in microseconds since the epoch
     * @param host the host to which the call will be sent
     * @return an open claim
     */
    public static Claim open(String requestDigest, String token, long issuedMicros, String host) {
        return new Claim(requestDigest, token, issuedMicros, host, Outcome.OPEN, Optional.empty());
    }

    /**
     * Decodes the text of a row.
     *
     * @param text a text in the format of {@link #encode}
     * @return the claim, or empty if the text is not valid
     */
    public static Optional<Claim> decode(String text) {
        String[] fields = text.split(SEPARATOR, -1);
        if (fields.length != FIELD_COUNT) {
            return Optional.empty();
        }
        try {
            int status = Integer.parseInt(fields[5]);
            Optional<CallResponse> response = status == 0
                    ? Optional.empty()
                    : Optional.of(new CallResponse(status, decodeBase64(fields[6]), decodeBase64(fields[7])));
            return Optional.of(new Claim(
                    fields[0],
                    decodeBase64(fields[1]),
                    Long.parseLong(fields[2]),
                    decodeBase64(fields[3]),
                    Outcome.valueOf(fields[4]),
                    response));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the name of the row of an idempotency key.
     *
     * @param customer the customer's name
     * @param idempotencyKey the caller's key
     * @return a row name that is unique for the customer and key
     */
    public static String rowName(String customer, String idempotencyKey) {
        return Sha256.hex(Sha256.hex(customer) + Sha256.hex(idempotencyKey));
    }

    // -- combinators

    /**
     * Returns this claim with the response to its attempt.
     *
     * @param callResponse the response, which is stored only if its body has at most {@link #MAX_BODY_CHARS} characters
     * @return a claim with the outcome {@link Outcome#DONE}
     */
    public Claim withResponse(CallResponse callResponse) {
        return new Claim(
                requestDigest,
                token,
                issuedMicros,
                host,
                Outcome.DONE,
                Optional.of(callResponse).filter(candidate -> candidate.body().length() <= MAX_BODY_CHARS));
    }

    // -- queries

    /**
     * Encodes the claim for its row.
     *
     * @return the components, separated by spaces; free text is encoded in Base64, and status 0 stands for no response
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

    private static String decodeBase64(String encoded) {
        return new String(Base64.getDecoder().decode(encoded), StandardCharsets.UTF_8);
    }
}
