import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A change of the config makes a tenant isolated. It and another tenant send requests whose prompts begin with the same
 * shared parts, as tenants of one operator do. The stand-in of the engine keeps each part under its model, the text in
 * X-Cache-Salt and its id, as PROTOCOL.md says, and remembers whose request made it.
 */
public final class LateWall {
    private static final List<String> TENANTS = List.of("bole", "yeka");
    private static final int REQUESTS = 20;

    private final Record record;
    private final boolean trouble;
    /** Whether the first tenant has been isolated for longer than config_apply_ms. */
    private volatile boolean isolated;
    /** Which tenant sent each request; the client knows it by its key. */
    private final Map<String, String> tenantByAttempt = new ConcurrentHashMap<>();
    /** Whose request made each part. */
    private final Map<String, String> makers = new ConcurrentHashMap<>();
    private final AtomicInteger reusedAcross = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();

    private LateWall(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    private void serve(Socket channel, String engine) {
        try (channel) {
            InputStream in = new BufferedInputStream(channel.getInputStream());
            OutputStream out = channel.getOutputStream();
            for (HttpRequest request = HttpRequest.read(in); request != null; request = HttpRequest.read(in)) {
                if (request.path().startsWith("/-/")) {
                    respondReport(out);
                } else {
                    run(request, engine, out);
                }
            }
        } catch (IOException e) {
            // The channel is closed.
        }
    }

    private static void respondReport(OutputStream out) throws IOException {
        String body = "{\"stage\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
                + "\"sequence\":0,\"queued\":0,\"running\":0}";
        write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body);
    }

    private void run(HttpRequest request, String engine, OutputStream out) throws IOException {
        String attempt = request.fields().get("x-attempt-id");
        String tenant = tenantByAttempt.get(attempt);
        String salt = request.fields().getOrDefault("x-cache-salt", "");
        String named = request.fields().getOrDefault("x-tenant", "");
        record.add(engine + " runs " + attempt + " of tenant " + tenant + ": X-Tenant bytes " + hex(named)
                + ", X-Cache-Salt " + salt + " (" + hex(salt) + ")");
        for (String part : request.fields().get("x-prompt-prefix").split(",")) {
            String key = engine + " " + request.fields().get("x-model") + " " + salt + " "
                    + part.substring(0, part.indexOf(':'));
            String maker = makers.putIfAbsent(key, tenant);
            // Before the change neither tenant is isolated, and both may use the parts of the other.
            if (isolated && maker != null && !maker.equals(tenant)) {
                reusedAcross.incrementAndGet();
                record.add("WALL: " + attempt + " of tenant " + tenant + " uses part " + part
                        + ", which a request of tenant " + maker + " made; " + TENANTS.get(0) + " is isolated");
            }
        }
        String events = "id: 1\ndata: word\n\n";
        write(out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: st." + attempt
                + "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nContent-Length: " + events.length()
                + "\r\n\r\n" + events);
    }

    private static String hex(String latin1) {
        StringBuilder text = new StringBuilder();
        for (byte next : latin1.getBytes(StandardCharsets.ISO_8859_1)) {
            text.append(String.format("%02x", next));
        }
        return text.toString();
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private String listen(String engine, String ip) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.bind(new InetSocketAddress(ip, 0), 64);
        Thread thread = new Thread(() -> {
            while (true) {
                try {
                    Socket channel = listener.accept();
                    Thread server = new Thread(() -> serve(channel, engine));
                    server.setDaemon(true);
                    server.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
        return ip + ":" + listener.getLocalPort();
    }

    private static String config(int version, boolean firstIsolated) {
        String tenants = "{\"name\":\"" + TENANTS.get(0) + "\",\"api_keys\":[\"key1\"],\"isolated\":" + firstIsolated
                + "},{\"name\":\"" + TENANTS.get(1) + "\",\"api_keys\":[\"key2\"],\"isolated\":false}";
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"ask\",\"host\":\"h.example\",\"prefix\":\"/ask/\","
                + "\"kind\":\"streaming\",\"resumable\":false,\"timeout_ms\":5000,\"target_latency_ms\":400,"
                + "\"target_gap_ms\":250,\"priority\":1,\"max_attempts\":1,\"sticky\":true,\"service\":\"lm\"}],"
                + "\"services\":[{\"name\":\"lm\",\"max_connections\":460,\"engine\":{\"slots\":32,"
                + "\"kv_capacity_tokens\":115944,\"kv_token_bytes\":192512}}],\"tenants\":[" + tenants
                + "],\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,"
                + "\"idle_timeout_ms\":10000}}";
    }

    private String call(Entry entry, String attempt, String tenant, String key, String sharedPart)
            throws IOException {
        tenantByAttempt.put(attempt, tenant);
        try (Socket channel = new Socket()) {
            channel.connect(new InetSocketAddress(entry.ip, entry.front), 1000);
            channel.setSoTimeout(6000);
            write(channel.getOutputStream(), "POST /ask/q HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attempt
                    + "\r\nX-Deadline-Ms: 5005\r\nX-Key: " + key + "\r\nX-Model: m0\r\nX-Token-Counts: 826,73\r\n"
                    + "X-Prompt-Prefix: " + sharedPart + ":198," + attempt + ":628\r\nContent-Length: 0\r\n"
                    + "Connection: close\r\n\r\n");
            String status = HttpRequest.readLine(channel.getInputStream());
            record.add("client of " + tenant + " gets " + status + " for " + attempt);
            return status == null ? "" : status;
        }
    }

    private void send(List<Entry> entries, int number, int tenant, int part) throws Exception {
        String attempt = String.format("%016x", number);
        String sharedPart = String.format("%08x", 0x5c1e0700 + part);
        String status = call(
                entries.get(number % 2), attempt, TENANTS.get(tenant), "key" + (tenant + 1), sharedPart);
        if (status.contains(" 200")) {
            answered.incrementAndGet();
        }
        Thread.sleep(30);
    }

    private int run(Path root, Path folder) throws Exception {
        Store store = new Store("127.0.0.1");
        store.put("op", "config", config(3, false));
        store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
        for (int i = 0; i < 2; i++) {
            String address = listen("i-" + i, "127.0.0." + (10 + i));
            store.put("servers", "i-" + i, "{\"service\":\"lm\",\"address\":\"" + address + "\",\"zone\":\"a\","
                    + "\"version\":\"1\",\"slots\":32,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,"
                    + "\"born\":1700000000000,\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]}");
        }
        List<Entry> entries = new ArrayList<>();
        int port = Entry.freePort("127.0.0.31");
        for (int i = 0; i < 2; i++) {
            entries.add(new Entry(root, folder, "front-a-" + i, "127.0.0." + (31 + i), "a", store.address(), port,
                    List.of("127.0.0.31:1")));
        }
        try {
            for (Entry entry : entries) {
                entry.start();
            }
            for (Entry entry : entries) {
                for (int i = 0; !entry.isReady(); i++) {
                    if (i == 400) {
                        record.add("an entry is not ready after 20 s");
                        return 2;
                    }
                    Thread.sleep(50);
                }
            }
            // A request of the first tenant reads each shared part, on each engine.
            for (int i = 0; i < 4 * REQUESTS; i++) {
                send(entries, 0xa000 + i, 0, i / 4);
            }
            if (trouble) {
                record.add("config 4 makes " + TENANTS.get(0) + " isolated");
            } else {
                record.add("config 4 changes nothing");
            }
            store.put("op", "config", config(4, trouble));
            // config_apply_ms is 2,000.
            Thread.sleep(2500);
            isolated = trouble;
            for (int i = 0; i < REQUESTS; i++) {
                send(entries, 0xb000 + i, 1, i);
            }
        } finally {
            entries.forEach(Entry::kill);
        }
        record.add("answered " + answered + " of " + 5 * REQUESTS
                + ", parts made by the isolated tenant and used by the other " + reusedAcross);
        if (answered.get() < 3 * REQUESTS) {
            return 2;
        }
        return reusedAcross.get() > 0 ? 1 : 0;
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toRealPath();
        Path folder = Files.createTempDirectory("review-8");
        int result = 2;
        try (Record record = new Record(Path.of(arguments[1]))) {
            result = new LateWall(record, !"0".equals(System.getenv("TROUBLE"))).run(root, folder);
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }
}
