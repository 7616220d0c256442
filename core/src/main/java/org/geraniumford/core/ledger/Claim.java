package org.geraniumford.core.ledger;

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
 * @param answer the answer; empty while it is not known, or if it was too large to keep
 */
public record Claim(
        String requestDigest,
        String token,
        long issuedMicros,
        String host,
        Outcome outcome,
        Optional<CallAnswer> answer) {
    /** The table that holds the claims. */
    public static final String TABLE = "claims";

    /** The longest answer body that is kept, in characters. */
    public static final int MAX_BODY = 32 * 1024;

    private static final String SEPARATOR = " ";
    private static final int FIELDS = 8;

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
        requireNonNull(answer, "answer is null");
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
        if (fields.length != FIELDS) {
            return Optional.empty();
        }
        try {
            int status = Integer.parseInt(fields[5]);
            Optional<CallAnswer> answer = status == 0
                    ? Optional.empty()
                    : Optional.of(new CallAnswer(status, plain(fields[6]), plain(fields[7])));
            return Optional.of(new Claim(
                    fields[0],
                    plain(fields[1]),
                    Long.parseLong(fields[2]),
                    plain(fields[3]),
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
    public static String row(String customer, String idempotencyKey) {
        return Sha256.hex(Sha256.hex(customer) + Sha256.hex(idempotencyKey));
    }

    // -- combinators

    /**
     * Returns this claim with the answer of its attempt.
     *
     * @param result the answer; its body is kept up to {@link #MAX_BODY}
     * @return a claim that is done
     */
    public Claim done(CallAnswer result) {
        return new Claim(
                requestDigest,
                token,
                issuedMicros,
                host,
                Outcome.DONE,
                Optional.of(result).filter(kept -> kept.body().length() <= MAX_BODY));
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
                coded(token),
                Long.toString(issuedMicros),
                coded(host),
                outcome.name(),
                Integer.toString(answer.map(CallAnswer::status).orElse(0)),
                coded(answer.map(CallAnswer::contentType).orElse("")),
                coded(answer.map(CallAnswer::body).orElse("")));
    }

    private static String coded(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String plain(String coded) {
        return new String(Base64.getDecoder().decode(coded), StandardCharsets.UTF_8);
    }
}
