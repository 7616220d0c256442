import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * All entries are killed right after the ack of new weights and start again. The name of the model holds a space.
 */
public final class UnreadableLease {
    private static final String MODEL = "Walia LLM";
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long DOWN_MILLIS = 1_100;

    private record Answer(long sentMillis, int status, String weights) {}

    private final Record record;
    private final ConcurrentLinkedQueue<Answer> answers = new ConcurrentLinkedQueue<>();
    private volatile boolean trafficOver;

    private UnreadableLease(Record record) {
        this.record = record;
    }

    private void sendTraffic(Entry entry, int client) throws InterruptedException {
        for (int i = 0; !trafficOver; i++) {
            long sent = record.millis();
            String attempt = String.format("%08x%08x", client, i);
            int status = 0;
            String weights = "";
            try (Socket channel = new Socket()) {
                channel.connect(new InetSocketAddress(entry.ip, entry.front), 1000);
                channel.setSoTimeout(5500);
                channel.getOutputStream().write(("POST /ask/q HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attempt
                        + "\r\nX-Deadline-Ms: 5005\r\nX-Key: k1\r\nX-Model: " + MODEL
                        + "\r\nX-Token-Counts: 826,73\r\nX-Prompt-Prefix: a1:198,b" + attempt
                        + ":628\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                InputStream in = channel.getInputStream();
                String line = HttpRequest.readLine(in);
                status = line == null ? 0 : Integer.parseInt(line.split(" ")[1]);
                for (; line != null && !line.isEmpty(); line = HttpRequest.readLine(in)) {
                    weights = line.toLowerCase().startsWith("x-weight-versions:") ? line.substring(18).strip() : weights;
                }
            } catch (IOException e) {
                // No connection, or no answer.
            }
            answers.add(new Answer(sent, status, weights));
            record.add("sent at " + sent + " to " + entry.name + ": " + status + ", weights " + weights);
            Thread.sleep(200);
        }
    }

    private double servedShare(long from, long to) {
        long all = answers.stream().filter(a -> a.sentMillis() >= from && a.sentMillis() < to).count();
        long served = answers.stream()
                .filter(a -> a.sentMillis() >= from && a.sentMillis() < to && a.status() == 200)
                .count();
        record.add("served of those sent from " + from + " to " + to + ": " + served + " of " + all);
        return all == 0 ? 0 : (double) served / all;
    }

    private static void awaitReady(List<Entry> entries) throws IOException, InterruptedException {
        for (Entry entry : entries) {
            for (int i = 0; !entry.isReady(); i++) {
                if (i == 400) {
                    throw new IOException(entry.name + " is not ready after 20 s");
                }
                Thread.sleep(50);
            }
        }
    }

    private static String published(int version) {
        return "{\"model\":\"" + MODEL + "\",\"version\":" + version + "}";
    }

    private int run(Path root, Path folder, boolean trouble) throws Exception {
        Store store = new Store("127.0.0.1");
        store.put("op", "config", "{\"version\":3,\"routes\":[{\"name\":\"ask\",\"host\":\"h.example\",\"prefix\":\"/ask/\","
                + "\"kind\":\"streaming\",\"resumable\":false,\"timeout_ms\":5000,\"target_latency_ms\":400,"
                + "\"target_gap_ms\":250,\"priority\":1,\"max_attempts\":1,\"sticky\":true,\"service\":\"lm\"}],"
                + "\"services\":[{\"name\":\"lm\",\"max_connections\":460,\"engine\":{\"slots\":32,"
                + "\"kv_capacity_tokens\":115944,\"kv_token_bytes\":192512}}],"
                + "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"]}],\"limits\":{\"max_header_bytes\":8192,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":10000}}");
        store.put("op", "version/" + MODEL, published(1));
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            engines.add(new Engine(record, store, "i-" + i, "127.0.0." + (10 + i), "a", MODEL, 1));
        }
        List<Entry> entries = new ArrayList<>();
        int port = Entry.freePort("127.0.0.31");
        for (int i = 0; i < 3; i++) {
            entries.add(new Entry(root, folder, "front-a-" + i, "127.0.0." + (31 + i), "a", store.address(), port,
                    List.of("127.0.0.31:1")));
        }
        try {
            for (Entry entry : entries) {
                entry.start();
            }
            awaitReady(entries);
            Thread.sleep(2000);
            for (int i = 0; i < entries.size(); i++) {
                Entry entry = entries.get(i);
                int client = i;
                Engine.start(() -> sendTraffic(entry, client));
            }
            long trafficBegins = record.millis();
            Thread.sleep(2000);
            record.add("version 2 is named");
            store.put("op", "version/" + MODEL, published(2));
            Thread.sleep(8000);
            long faultMillis = record.millis();
            record.add("version 3 is named");
            store.put("op", "version/" + MODEL, published(3));
            if (trouble) {
                entries.forEach(Entry::kill);
                record.add("all entries are killed");
                for (Entry entry : entries) {
                    entry.process.waitFor();
                }
                Thread.sleep(DOWN_MILLIS);
                for (Entry entry : entries) {
                    entry.start();
                }
                record.add("all entries start again");
                awaitReady(entries);
                record.add("all entries are ready");
            }
            long backMillis = record.millis();
            Thread.sleep(RECOVERY_MILLIS + 12_000);
            trafficOver = true;
            double before = servedShare(trafficBegins, faultMillis);
            double after = servedShare(backMillis + RECOVERY_MILLIS, Long.MAX_VALUE);
            record.add("runners with version 3 at the end: "
                    + engines.stream().filter(engine -> engine.version() == 3).count() + " of " + engines.size());
            if (before < 0.25) {
                return 2;
            }
            return after < 0.25 ? 1 : 0;
        } finally {
            entries.forEach(Entry::kill);
        }
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toRealPath();
        Path folder = Files.createTempDirectory("review-7");
        int result = 2;
        try (Record record = new Record(Path.of(arguments[1]))) {
            result = new UnreadableLease(record).run(root, folder, !"0".equals(System.getenv("TROUBLE")));
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }
}
