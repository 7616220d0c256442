import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** A small deployment: a store, entries and runners, on loopback, in a temporary folder of its own. */
final class Deployment implements AutoCloseable {
    /** The key of the tenant "tenant-a". */
    static final String KEY = "key-a";

    final Store store = new Store();
    final Path root;
    final Path folder;
    private final List<Entry> entries = new CopyOnWriteArrayList<>();
    private final List<Runner> runners = new ArrayList<>();

    Deployment(Path root) throws IOException {
        this.root = root;
        folder = Files.createTempDirectory("geraniumford-review");
    }

    /** Writes a config with the services "plain" and "engine" and the limits of the site file. */
    void configure(int version) {
        configure(version, "");
    }

    /** Writes such a config with further routes, as JSON texts that begin with a comma. */
    void configure(int version, String furtherRoutes) {
        configure(version, furtherRoutes, "\"" + KEY + "\"");
    }

    /** Writes such a config in which the tenant has the given keys, JSON texts with commas between them. */
    void configure(int version, String furtherRoutes, String keys) {
        store.put("op", "config", """
                {"version":%d,
                 "routes":[
                  {"name":"safe","host":"a.example","prefix":"/safe/","kind":"safe","timeout_ms":3000,
                   "target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2},
                  {"name":"unsafe","host":"a.example","prefix":"/unsafe/","kind":"unsafe","timeout_ms":3000,
                   "target_latency_ms":300,"priority":2,"service":"plain","max_attempts":1},
                  {"name":"stream","host":"a.example","prefix":"/stream/","kind":"streaming","resumable":false,
                   "timeout_ms":12000,"target_latency_ms":400,"priority":0,"service":"engine","max_attempts":1},
                  {"name":"resumable","host":"a.example","prefix":"/resumable/","kind":"streaming","resumable":true,
                   "timeout_ms":4000,"target_latency_ms":600,"priority":1,"service":"engine","max_attempts":2}%s],
                 "services":[{"name":"plain","health_path":"/health","max_connections":720},
                  {"name":"engine","health_path":"/health","max_connections":720,
                   "engine":{"slots":64,"kv_capacity_tokens":106560,"backups":true}}],
                 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
                  "idle_timeout_ms":15000},
                 "tenants":[{"name":"tenant-a","api_keys":[%s],"priority":1,"isolated":false}]}
                """.formatted(version, furtherRoutes, keys));
    }

    Runner runner(Runner runner, String service, int slots) {
        runners.add(runner);
        store.put("servers", runner.id, runner.row(service, "zone-a", slots));
        return runner;
    }

    Entry entry(String node, String ip) throws IOException, InterruptedException {
        Entry entry = new Entry(root, folder, node, ip, store.address());
        entries.add(entry);
        entry.start();
        return entry;
    }

    /** Returns the head of a client's request. */
    static String requestHead(String method, String path, String id, int deadlineMillis, long length) {
        return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
                + deadlineMillis + "\r\nX-Key: " + KEY + "\r\nContent-Length: " + length + "\r\n\r\n";
    }

    /** Sends a request on a new channel and returns the answer; waits half a second longer than the deadline. */
    static Http.Response call(Entry entry, String method, String path, String id, int deadlineMillis, byte[] body)
            throws IOException {
        try (Socket channel = entry.connect()) {
            channel.setSoTimeout(deadlineMillis + 500);
            channel.getOutputStream().write(Http.ascii(requestHead(method, path, id, deadlineMillis, body.length)));
            channel.getOutputStream().write(body);
            channel.getOutputStream().flush();
            InputStream in = channel.getInputStream();
            return Http.readResponse(in);
        }
    }

    /** Ends the entries. */
    void endProcesses() {
        entries.forEach(Entry::close);
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Runner runner : runners) {
            runner.close();
        }
        store.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
