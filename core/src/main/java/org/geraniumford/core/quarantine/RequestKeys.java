package org.geraniumford.core.quarantine;

import static java.util.Objects.requireNonNull;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.geraniumford.core.prompt.PromptSegment;
import org.geraniumford.core.prompt.PromptSpec;

/**
 * The keys of what may end a server under a request: the segments that its prompt shares with other requests, and the
 * request itself, which may come again under another id.
 *
 * @param segments the keys of the shared segments, in the order of the prompt; empty without a prompt
 * @param request the key of the request itself; empty while it is not needed
 */
public record RequestKeys(List<Long> segments, OptionalLong request) {
    /** Copies the list. */
    public RequestKeys {
        segments = List.copyOf(segments);
        requireNonNull(request, "request is null");
    }

    // -- construction

    /**
     * Returns the keys of a request whose own key is not needed.
     *
     * @param segments the keys of the shared segments
     * @return the keys
     */
    public static RequestKeys ofSegments(List<Long> segments) {
        return new RequestKeys(segments, OptionalLong.empty());
    }

    /**
     * Returns the key of a request, the same for each repetition of it at every entry. It includes the customer, so
     * that no customer's requests are held for another's; it is cut from a cryptographic digest, so that no caller can
     * choose a request with the key of another.
     *
     * @param customer the name of the customer; empty if the request has none
     * @param method the HTTP method
     * @param target the path and query
     * @param prompt the prompt, if the request has one
     * @param body the body, which is read to its limit
     * @return the first 64 bits of the digest
     */
    public static long request(
            String customer, String method, String target, Optional<PromptSpec> prompt, ByteBuffer body) {
        MessageDigest digest = sha256();
        Stream<String> promptFields = prompt.stream()
                .flatMap(spec -> Stream.concat(
                        Stream.of(spec.model()), spec.segments().stream().map(RequestKeys::text)));
        Stream.concat(Stream.of(customer, method, target), promptFields).forEach(field -> update(digest, field));
        update(digest, "");
        digest.update(body);
        return ByteBuffer.wrap(digest.digest()).getLong();
    }

    private static String text(PromptSegment segment) {
        return segment.id() + ":" + segment.tokens();
    }

    /** Adds a field with its length, so that no two lists of fields give the same bytes. */
    private static void update(MessageDigest digest, String field) {
        byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
        digest.update(bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    // -- queries

    /**
     * Returns all keys.
     *
     * @return the keys of the segments, then that of the request
     */
    List<Long> all() {
        return Stream.concat(segments.stream(), request.stream().boxed()).toList();
    }
}
