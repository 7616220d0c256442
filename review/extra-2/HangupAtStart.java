import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Two of eight machines are stopped and started in turn, three times. Their settings files change while the process
 * starts, and SIGHUP says so.
 */
public final class HangupAtStart {
    private static final int ROUNDS = 3;
    private static final long HANGUP_AFTER_MILLIS = 200;
    private static final long RESTART_DELAY_MILLIS = 500;

    private HangupAtStart() {}

    private static void awaitReady(Entry entry) throws IOException, InterruptedException {
        for (int i = 0; !entry.isReady(); i++) {
            if (i == 400) {
                throw new IOException(entry.name + " is not ready after 20 s");
            }
            Thread.sleep(50);
        }
    }

    private static int run(Record record, Path root, Path folder, boolean trouble) throws Exception {
        Store store = new Store("127.0.0.1");
        store.put("op", "config", "{\"version\":3,\"routes\":[{\"name\":\"look\",\"host\":\"h.example\",\"prefix\":\"/look/\","
                + "\"kind\":\"safe\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":2,\"max_attempts\":2,"
                + "\"service\":\"tally\"}],\"services\":[{\"name\":\"tally\",\"max_connections\":192}],\"limits\":{}}");
        List<Entry> entries = new ArrayList<>();
        int port = Entry.freePort("127.0.0.31");
        for (int i = 0; i < 8; i++) {
            entries.add(new Entry(root, folder, "front-a-" + i, "127.0.0." + (31 + i), "a", store.address(), port,
                    List.of("127.0.0.31:1")));
        }
        int[] ends = new int[entries.size()];
        try {
            for (Entry entry : entries) {
                entry.start();
            }
            for (Entry entry : entries) {
                awaitReady(entry);
            }
            for (int round = 0; round < ROUNDS; round++) {
                for (int i = 0; i < 2; i++) {
                    Entry entry = entries.get(i);
                    record.add(entry.name + " gets SIGTERM");
                    entry.signal("TERM");
                    entry.process.waitFor();
                    record.add(entry.name + " has exited with " + entry.process.exitValue() + " and starts again");
                    entry.start();
                    if (trouble) {
                        Thread.sleep(HANGUP_AFTER_MILLIS);
                        Files.writeString(entry.settings, "seeds=127.0.0.32:1\n", StandardOpenOption.APPEND);
                        record.add(entry.name + " gets SIGHUP, its settings have changed");
                        entry.signal("HUP");
                    }
                    if (entry.process.waitFor(2, TimeUnit.SECONDS)) {
                        ends[i]++;
                        record.add(entry.name + " has ended by itself with " + entry.process.exitValue()
                                + "; it is started again after " + RESTART_DELAY_MILLIS + " ms");
                        Thread.sleep(RESTART_DELAY_MILLIS);
                        entry.start();
                    }
                    awaitReady(entry);
                    record.add(entry.name + " is ready");
                }
            }
        } finally {
            entries.forEach(Entry::kill);
        }
        int machines = 0;
        for (int i = 0; i < ends.length; i++) {
            machines += ends[i] >= 3 ? 1 : 0;
        }
        record.add("ends of their own: " + ends[0] + " and " + ends[1] + "; machines with three or more: " + machines
                + " of " + entries.size());
        return machines >= 2 ? 1 : 0;
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toRealPath();
        Path folder = Files.createTempDirectory("review-extra");
        int result = 2;
        try (Record record = new Record(Path.of(arguments[1]))) {
            result = run(record, root, folder, !"0".equals(System.getenv("TROUBLE")));
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }
}
