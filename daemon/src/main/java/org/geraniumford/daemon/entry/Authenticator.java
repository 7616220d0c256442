package org.geraniumford.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.geraniumford.core.configuration.Configuration;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.RefusalException;

/** Finds the customer that a caller belongs to, by the digest of its API key. */
final class Authenticator {
    private static final String SCHEME = "Bearer ";
    private static final String DIGEST_ALGORITHM = "SHA-256";

    private Authenticator() {}

    // -- queries

    /**
     * Finds the customer that an API key belongs to.
     *
     * @param configuration the configuration in force
     * @param authorization the value of the {@code Authorization} header field; empty if the request has none
     * @return the customer
     * @throws RefusalException with {@link Reason#UNAUTHENTICATED} if the field holds no bearer key or an unknown one
     */
    static Customer authenticate(Configuration configuration, Optional<String> authorization) {
        byte[] digest = authorization
                .filter(field -> field.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
                .map(field -> field.substring(SCHEME.length()).strip())
                .filter(key -> !key.isEmpty())
                .map(Authenticator::digest)
                .orElseThrow(() -> unauthenticated("the Authorization header field holds no bearer key"));
        return Optional.ofNullable(
                        configuration.customersByKeyDigest().get(HexFormat.of().formatHex(digest)))
                .filter(customer -> matchesKey(customer, digest))
                .orElseThrow(() -> unauthenticated("the API key is not known"));
    }

    /** Compares digests in constant time, so that the response time reveals nothing about a key. */
    private static boolean matchesKey(Customer customer, byte[] digest) {
        return customer.keyDigests().stream()
                .map(HexFormat.of()::parseHex)
                .anyMatch(knownDigest -> MessageDigest.isEqual(knownDigest, digest));
    }

    private static byte[] digest(String key) {
        try {
            return MessageDigest.getInstance(DIGEST_ALGORITHM).digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(DIGEST_ALGORITHM + " is part of every Java platform", e);
        }
    }

    private static RefusalException unauthenticated(String detail) {
        return Refusal.notRun(Reason.UNAUTHENTICATED, detail).toException();
    }
}
