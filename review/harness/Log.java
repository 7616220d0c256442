import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a case's record.txt, each line with the seconds since the start. */
final class Log implements AutoCloseable {
    private final PrintWriter writer;
    private final long startNanos = System.nanoTime();

    Log(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String format, Object... arguments) {
        String text = arguments.length == 0 ? format : String.format(format, arguments);
        String line = String.format("%8.3f  %s", (System.nanoTime() - startNanos) / 1e9, text);
        writer.println(line);
        System.out.println(line);
    }

    @Override
    public void close() {
        writer.close();
    }
}
