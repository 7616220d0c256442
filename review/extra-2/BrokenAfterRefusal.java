import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of seven engines crashes while streams run there. Some of these streams had been turned away before by another
 * engine that was full. Each client shall hear of the end of its stream at once; it gives up after two seconds
 * without a byte.
 */
public final class BrokenAfterRefusal {
    private static final int EVENTS = 60;
    private static final int EVENT_MILLIS = 100;
    private static final int PATIENCE_MILLIS = 2000;
    private static final int STREAMS = 48;

    private final Record record;
    private final Map<String, List<String>> refusedBy = new ConcurrentHashMap<>();
    private final Map<String, String> ranAt = new ConcurrentHashMap<>();
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger ended = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger left = new AtomicInteger();
    private volatile long crashMillis = Long.MAX_VALUE;

    private BrokenAfterRefusal(Record record) {
        this.record = record;
    }

    /** A model runner: a stream of events, or 503 with X-Not-Run while its slots are taken by others. */
    private final class Engine {
        private final String id;
        private final String zone;
        private final boolean full;
        private final ServerSocket listener = new ServerSocket();
        private final Set<Socket> channels = ConcurrentHashMap.newKeySet();

        Engine(String id, String ip, String zone, boolean full) throws IOException {
            this.id = id;
            this.zone = zone;
            this.full = full;
            listener.bind(new InetSocketAddress(ip, 0), 256);
            start(() -> {
                while (true) {
                    Socket channel = listener.accept();
                    channels.add(channel);
                    start(() -> serve(channel));
                }
            });
        }

        String row() {
            String address = listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
            return "{\"service\":\"lm\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                    + "\",\"version\":\"1\",\"slots\":32,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,"
                    + "\"born\":1700000000000,\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]}";
        }

        private void serve(Socket channel) throws Exception {
            channel.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(channel.getInputStream());
            OutputStream out = channel.getOutputStream();
            for (HttpRequest request = HttpRequest.read(in); request != null; request = HttpRequest.read(in)) {
                String attempt = request.fields().get("x-attempt-id");
                if (request.fields().containsKey("kv-from")) {
                    // No copy is kept here: PROTOCOL.md answers 503, and the request is not run.
                    write(out, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Attempt-Id: " + attempt
                            + "\r\nContent-Length: 0\r\n\r\n");
                } else if (full) {
                    record.add(id + " is full, answers 503 with X-Not-Run to " + attempt);
                    refusedBy.computeIfAbsent(attempt, key -> new ArrayList<>()).add(id);
                    write(out, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Attempt-Id: " + attempt
                            + "\r\nContent-Length: 0\r\n\r\n");
                } else {
                    ranAt.put(attempt, id);
                    record.add(id + " runs " + attempt);
                    write(out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: st." + attempt
                            + "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n");
                    for (int event = 1; event <= EVENTS; event++) {
                        Thread.sleep(EVENT_MILLIS);
                        String text = "id: " + event + "\ndata: word\n\n";
                        write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                    }
                    write(out, "0\r\n\r\n");
                    record.add(id + " has ended " + attempt);
                }
            }
            channel.close();
        }

        void crash() throws IOException {
            listener.close();
            for (Socket channel : channels) {
                channel.setSoLinger(true, 0);
                channel.close();
            }
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private interface Task {
        void run() throws Exception;
    }

    private static Thread start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The channel is closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** One client attempt. The client leaves after two seconds without a byte, as PROTOCOL.md says. */
    private void call(Entry entry, int number) throws IOException {
        String attempt = String.format("%016x", 0xabc000L + number);
        try (Socket channel = new Socket()) {
            channel.connect(new InetSocketAddress(entry.ip, entry.front), 1000);
            channel.setSoTimeout(PATIENCE_MILLIS);
            String body = "x".repeat(1700);
            record.add("client sends " + attempt);
            write(channel.getOutputStream(), "POST /ask/q HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attempt
                    + "\r\nX-Deadline-Ms: 15009\r\nX-Key: k1\r\nX-Model: m0\r\nX-Token-Counts: 826,73\r\n"
                    + "X-Prompt-Prefix: a1:198,b" + number + ":628\r\nContent-Length: " + body.length() + "\r\n\r\n"
                    + body);
            InputStream in = new BufferedInputStream(channel.getInputStream());
            String status = HttpRequest.readLine(in);
            String last = "";
            boolean whole = false;
            try {
                for (String line = HttpRequest.readLine(in); line != null; line = HttpRequest.readLine(in)) {
                    whole = line.isEmpty() && last.equals("0");
                    last = line;
                    if (whole) {
                        break;
                    }
                }
            } catch (SocketTimeoutException e) {
                left.incrementAndGet();
                record.add("client leaves " + attempt + ": nothing for " + PATIENCE_MILLIS + " ms; refused by "
                        + refusedBy.getOrDefault(attempt, List.of()) + ", then run by " + ranAt.get(attempt));
                return;
            }
            if (status == null || !status.contains(" 200")) {
                refused.incrementAndGet();
                record.add("client gets " + status + " for " + attempt);
            } else if (whole) {
                complete.incrementAndGet();
                record.add("client has all of " + attempt);
            } else {
                ended.incrementAndGet();
                record.add("client's channel ends for " + attempt + ", " + (record.millis() - crashMillis)
                        + " ms after the crash; refused by " + refusedBy.getOrDefault(attempt, List.of())
                        + ", then run by " + ranAt.get(attempt));
            }
        }
    }

    private int run(Path root, Path folder, boolean trouble) throws Exception {
        Store store = new Store("127.0.0.1");
        store.put("op", "config", "{\"version\":3,\"routes\":[{\"name\":\"ask\",\"host\":\"h.example\",\"prefix\":\"/ask/\","
                + "\"kind\":\"streaming\",\"resumable\":false,\"timeout_ms\":15000,\"target_latency_ms\":300,\"target_gap_ms\":250,"
                + "\"priority\":0,\"max_attempts\":1,\"sticky\":true,\"service\":\"lm\"}],\"services\":[{\"name\":\"lm\","
                + "\"max_connections\":460,\"engine\":{\"slots\":32,\"kv_capacity_tokens\":115944,\"kv_token_bytes\":192512,"
                + "\"backups\":true}}],\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"]}],\"limits\":{\"max_header_bytes\":8192,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":10000}}");
        store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            // Two in the zone of the entry. The first is full with work of other entries.
            engines.add(new Engine("i-" + i, "127.0.0." + (10 + i), i < 2 ? "a" : "b", i == 0));
            store.put("servers", "i-" + i, engines.get(i).row());
        }
        Entry entry = new Entry(root, folder, "front-a-1", "127.0.0.31", "a", store.address(),
                Entry.freePort("127.0.0.31"), List.of());
        try {
            entry.start();
            for (int i = 0; !entry.isReady(); i++) {
                if (i == 400) {
                    record.add("the entry is not ready after 20 s");
                    return 2;
                }
                Thread.sleep(50);
            }
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                int number = i;
                clients.add(start(() -> call(entry, number)));
                Thread.sleep(60);
            }
            Thread.sleep(1000);
            if (trouble) {
                crashMillis = record.millis();
                record.add("i-1 crashes");
                engines.get(1).crash();
            }
            for (Thread client : clients) {
                client.join();
            }
        } finally {
            entry.kill();
        }
        record.add("streams complete " + complete + ", ended " + ended + ", refused " + refused
                + ", left by their clients after " + PATIENCE_MILLIS + " ms without a byte " + left);
        return left.get() > 0 ? 1 : 0;
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toRealPath();
        Path folder = Files.createTempDirectory("review-6");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Record record = new Record(Path.of(arguments[1]))) {
            result = new BrokenAfterRefusal(record).run(root, folder, trouble);
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }
}
