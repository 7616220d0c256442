import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads heads and bodies of HTTP/1.1 messages from a socket. */
final class Http {
    private Http() {}

    /** A message's first line and header fields, with names in lower case. */
    record Head(String firstLine, Map<String, String> fields) {
        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        long length() {
            return field("content-length").isEmpty() ? 0 : Long.parseLong(field("content-length"));
        }
    }

    /** A response; the body is whole unless {@code broken} says how it ended early. */
    record Response(Head head, byte[] body, String broken) {
        int status() {
            return head == null ? 0 : head.status();
        }
    }

    /** Returns the next head, or null at the end of the stream. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return new Head(first, fields);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads exactly the given number of bytes. */
    static byte[] readBytes(InputStream in, long count) throws IOException {
        byte[] bytes = in.readNBytes((int) count);
        if (bytes.length < count) {
            throw new EOFException("the stream ended after " + bytes.length + " of " + count + " bytes");
        }
        return bytes;
    }

    /** Reads a response to the end of its body; what goes wrong is in the result. */
    static Response readResponse(InputStream in) {
        Head head = null;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            head = readHead(in);
            if (head == null) {
                return new Response(null, new byte[0], "closed without an answer");
            }
            if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
                readChunks(in, body);
            } else if (!head.field("content-length").isEmpty()) {
                body.writeBytes(readBytes(in, head.length()));
            } else {
                body.writeBytes(in.readAllBytes());
            }
            return new Response(head, body.toByteArray(), "");
        } catch (IOException e) {
            return new Response(head, body.toByteArray(), e.toString());
        }
    }

    private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null) {
                throw new EOFException("the stream ended between chunks");
            }
            int count = Integer.parseInt(size.strip(), 16);
            body.writeBytes(readBytes(in, count));
            readLine(in);
            if (count == 0) {
                return;
            }
        }
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
