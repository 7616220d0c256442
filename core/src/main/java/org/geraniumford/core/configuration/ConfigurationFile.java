package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** A file of the operators' folder with its content. */
public final class ConfigurationFile {
    private final String name;
    private final byte[] content;

    private ConfigurationFile(String name, byte[] content) {
        this.name = requireNonNull(name, "name is null");
        this.content = content;
    }

    // -- construction

    /**
     * Creates a file from bytes.
     *
     * @param name the file's name without its folder
     * @param content the content, which is copied
     * @return the file
     */
    public static ConfigurationFile of(String name, byte[] content) {
        return new ConfigurationFile(name, content.clone());
    }

    /**
     * Creates a file from text.
     *
     * @param name the file's name without its folder
     * @param text the content
     * @return the file, encoded in UTF-8
     */
    public static ConfigurationFile of(String name, String text) {
        return new ConfigurationFile(name, text.getBytes(StandardCharsets.UTF_8));
    }

    // -- queries

    /**
     * Returns the name, which determines the order in which files are merged.
     *
     * @return the file's name without its folder
     */
    public String name() {
        return name;
    }

    /**
     * Returns the content as text.
     *
     * @return the decoded text, or empty if the content is not valid UTF-8
     */
    public Optional<String> text() {
        try {
            return Optional.of(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(content))
                    .toString());
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the digest of the content.
     *
     * @return the hexadecimal SHA-256 digest of the bytes
     */
    public String digest() {
        return Sha256.hex(content);
    }
}
