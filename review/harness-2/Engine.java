import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A stand-in of a model runner: short streams, a report, and orders to load weights in the mode `wait`, as PROTOCOL.md
 * describes them. Requests that name another version get 421, and those that arrive while it loads get 503 with
 * X-Not-Run.
 */
final class Engine {
    private static final long LOAD_MILLIS = 420;
    private static final ObjectMapper JSON = new ObjectMapper();
    private final Record record;
    private final Store store;
    private final String id;
    private final String zone;
    private final String model;
    private final ServerSocket listener = new ServerSocket();
    private int version;
    private int loading;
    private long loadedNanos;
    private int running;
    private int sequence;

    Engine(Record record, Store store, String id, String ip, String zone, String model, int version)
            throws IOException {
        this.record = record;
        this.store = store;
        this.id = id;
        this.zone = zone;
        this.model = model;
        this.version = version;
        listener.bind(new InetSocketAddress(ip, 0), 128);
        start(() -> {
            while (true) {
                Socket channel = listener.accept();
                start(() -> serve(channel));
            }
        });
        start(() -> {
            while (true) {
                step();
                Thread.sleep(20);
            }
        });
        list();
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The channel is closed, or the case ends.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    synchronized int version() {
        return version;
    }

    private synchronized void list() {
        store.put("servers", id, "{\"service\":\"lm\",\"address\":\"" + listener.getInetAddress().getHostAddress() + ":"
                + listener.getLocalPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"1\",\"slots\":32,"
                + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + ",\"born\":1700000000000,"
                + "\"models\":[{\"name\":\"" + model + "\",\"version\":" + version + ",\"adapters\":[]}]}");
    }

    private synchronized void step() {
        if (loading > 0 && running == 0 && loadedNanos == 0) {
            loadedNanos = System.nanoTime() + LOAD_MILLIS * 1_000_000;
        }
        if (loading > 0 && loadedNanos != 0 && System.nanoTime() - loadedNanos >= 0) {
            version = loading;
            loading = 0;
            loadedNanos = 0;
            record.add(id + " has version " + version);
            list();
        }
    }

    private void serve(Socket channel) throws IOException, InterruptedException {
        try (channel) {
            channel.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(channel.getInputStream());
            OutputStream out = channel.getOutputStream();
            for (HttpRequest request = HttpRequest.read(in); request != null; request = HttpRequest.read(in)) {
                switch (request.path()) {
                    case "/-/report" -> report(out);
                    case "/-/order" -> order(request, out);
                    default -> run(request, out);
                }
            }
        }
    }

    private synchronized void report(OutputStream out) throws IOException {
        step();
        respond(out, 200, "{\"stage\":\"both\",\"models\":[{\"name\":\"" + model + "\",\"version\":" + version
                + ",\"adapters\":[]}],\"busy\":" + (loading > 0) + ",\"sequence\":" + sequence
                + ",\"queued\":0,\"running\":" + running + "}");
    }

    private synchronized void order(HttpRequest request, OutputStream out) throws IOException {
        step();
        JsonNode order = JSON.readTree(request.body());
        int wanted = order.path("version").asInt();
        int status = loading > 0 || order.path("expected").asInt(sequence) != sequence
                ? 409
                : wanted <= version ? 200 : 202;
        if (status == 202) {
            sequence++;
            loading = wanted;
        }
        record.add(id + " is ordered version " + wanted + " by " + order.path("holder").asText() + ", fence "
                + order.path("fence").asLong() + ": " + status);
        respond(out, status, "{}");
    }

    private void run(HttpRequest request, OutputStream out) throws IOException, InterruptedException {
        String attempt = request.fields().get("x-attempt-id");
        String expected = request.fields().get("x-expect-version");
        synchronized (this) {
            step();
            if (loading > 0 || (expected != null && Integer.parseInt(expected) != version)) {
                String status = loading > 0 ? "503 Service Unavailable" : "421 Misdirected Request";
                write(out, "HTTP/1.1 " + status + "\r\nX-Not-Run: 1\r\nX-Attempt-Id: " + attempt
                        + "\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            running++;
        }
        try {
            Thread.sleep(30);
            String events = "id: 1\ndata: word\n\nid: 2\ndata: word\n\n";
            write(out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: st." + attempt
                    + "\r\nX-Weight-Versions: " + version() + "\r\nContent-Type: text/event-stream\r\nContent-Length: "
                    + events.length() + "\r\n\r\n" + events);
        } finally {
            synchronized (this) {
                running--;
            }
        }
    }

    private static void respond(OutputStream out, int status, String body) throws IOException {
        write(out, "HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
