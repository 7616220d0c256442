package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** One file of the operators' folder, as read. */
public final class ConfigurationFile {
    private final String name;
    private final byte[] content;

    private ConfigurationFile(String name, byte[] content) {
        this.name = requireNonNull(name, "name is null");
        this.content = content;
    }

    // -- construction

    /**
     * Creates a file from its bytes.
     *
     * @param name the file's name without its folder
     * @param content the bytes, copied
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
     * Returns the name by which the files are ordered.
     *
     * @return the file's name without its folder
     */
    public String name() {
        return name;
    }

    /**
     * Decodes the content.
     *
     * @return the text, or empty if the content is not UTF-8
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
     * Identifies the content.
     *
     * @return the hexadecimal SHA-256 digest of the bytes
     */
    public String digest() {
        return Sha256.hex(content);
    }
}
