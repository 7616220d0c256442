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
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three runners stutters in 3 of 100 answers: it breaks off shortly before the end of the body, keeps the channel,
 * and answers once more, whole, and writes each line of the second head by itself.
 */
public final class StutteringRunner {
    private static final int BODY_BYTES = 800;
    private static final int STUTTER_EVERY = 34;
    /** The missing end of the body is as long as a status line, or a part of it with its number. */
    private static final int MIN_MISSING_BYTES = 12;
    private static final int MAX_MISSING_BYTES = 17;
    private static final int CLIENTS = 10;
    private static final long TRAFFIC_MILLIS = 40_000;

    private final Record record;
    private final boolean trouble;
    private final Random random = new Random(53);
    private final Map<String, Integer> stuttered = new ConcurrentHashMap<>();
    private final AtomicInteger answersOfFirst = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger failures = new AtomicInteger();
    private final AtomicInteger mixed = new AtomicInteger();

    private StutteringRunner(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    /** The body that a runner answers to a request. */
    private static byte[] body(String attempt) {
        byte[] body = new byte[BODY_BYTES];
        byte[] pattern = ("vote " + attempt + "\n").getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < body.length; i++) {
            body[i] = pattern[i % pattern.length];
        }
        return body;
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private String listen(int runner, String ip) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.bind(new InetSocketAddress(ip, 0), 128);
        daemon(() -> {
            while (true) {
                try {
                    Socket channel = listener.accept();
                    daemon(() -> serve(channel, runner));
                } catch (IOException e) {
                    return;
                }
            }
        });
        return ip + ":" + listener.getLocalPort();
    }

    private void serve(Socket channel, int runner) {
        try (channel) {
            channel.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(channel.getInputStream());
            OutputStream out = channel.getOutputStream();
            for (HttpRequest request = HttpRequest.read(in); request != null; request = HttpRequest.read(in)) {
                answer(request.fields().get("x-attempt-id"), runner, out);
            }
        } catch (IOException | InterruptedException e) {
            // The channel is closed.
        }
    }

    private void answer(String attempt, int runner, OutputStream out) throws IOException, InterruptedException {
        Thread.sleep(30);
        String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: st." + attempt
                + "\r\nContent-Type: text/plain\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
        byte[] body = body(attempt);
        if (!trouble || runner != 0 || answersOfFirst.incrementAndGet() % STUTTER_EVERY != 0) {
            byte[] bytes = Arrays.copyOf(head.getBytes(StandardCharsets.US_ASCII), head.length() + BODY_BYTES);
            System.arraycopy(body, 0, bytes, head.length(), BODY_BYTES);
            write(out, bytes, 0, bytes.length);
            return;
        }
        int missing;
        synchronized (random) {
            missing = MIN_MISSING_BYTES + random.nextInt(MAX_MISSING_BYTES - MIN_MISSING_BYTES + 1);
        }
        stuttered.put(attempt, missing);
        record.add("i-0 breaks off its answer to " + attempt + ", " + missing + " bytes before the end of the body");
        byte[] first = Arrays.copyOf(head.getBytes(StandardCharsets.US_ASCII), head.length() + BODY_BYTES - missing);
        System.arraycopy(body, 0, first, head.length(), BODY_BYTES - missing);
        write(out, first, 0, first.length);
        Thread.sleep(20);
        byte[] second = head.getBytes(StandardCharsets.US_ASCII);
        int start = 0;
        for (int i = 0; i < second.length; i++) {
            if (second[i] == '\n') {
                write(out, second, start, i + 1 - start);
                start = i + 1;
                Thread.sleep(2);
            }
        }
        write(out, body, 0, BODY_BYTES);
    }

    private static void write(OutputStream out, byte[] bytes, int start, int length) throws IOException {
        out.write(bytes, start, length);
        out.flush();
    }

    private void sendTraffic(Entry entry, int client, long end) {
        Socket channel = null;
        for (int i = 0; record.millis() < end; i++) {
            String attempt = String.format("%08x%08x", client, i);
            boolean unsafe = i % 3 != 0;
            try {
                if (channel == null) {
                    channel = new Socket();
                    channel.connect(new InetSocketAddress(entry.ip, entry.front), 1000);
                    channel.setSoTimeout(2500);
                }
                byte[] request = ((unsafe ? "POST /cast/b" : "GET /look/b") + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: "
                        + attempt + "\r\nX-Deadline-Ms: 1501\r\nX-Key: k1\r\n" + (unsafe ? "Content-Length: 0\r\n" : "")
                        + "\r\n").getBytes(StandardCharsets.US_ASCII);
                write(channel.getOutputStream(), request, 0, request.length);
                boolean keep = readAnswer(channel.getInputStream(), attempt);
                if (!keep) {
                    channel.close();
                    channel = null;
                }
                Thread.sleep(150);
            } catch (IOException e) {
                failures.incrementAndGet();
                record.add("client gets no answer for " + attempt + ": " + e.getMessage());
                channel = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean readAnswer(InputStream in, String attempt) throws IOException {
        String line = HttpRequest.readLine(in);
        if (line == null) {
            throw new IOException("the channel has ended");
        }
        String status = line;
        int length = 0;
        boolean keep = true;
        String stamp = "";
        for (line = HttpRequest.readLine(in); line != null && !line.isEmpty(); line = HttpRequest.readLine(in)) {
            String lower = line.toLowerCase();
            length = lower.startsWith("content-length:") ? Integer.parseInt(line.substring(15).strip()) : length;
            keep = keep && !lower.equals("connection: close");
            stamp = lower.startsWith("x-server-stamp:") ? line.substring(15).strip() : stamp;
        }
        byte[] body = in.readNBytes(length);
        if (!status.contains(" 200")) {
            failures.incrementAndGet();
            record.add("client gets " + status + " for " + attempt);
        } else if (body.length == length && Arrays.equals(body, body(attempt))) {
            whole.incrementAndGet();
        } else {
            mixed.incrementAndGet();
            String end = new String(body, StandardCharsets.ISO_8859_1);
            record.add("MIXED: client gets " + status + " for " + attempt + ", stamp " + stamp + ", Content-Length " + length
                    + ", the body ends with "
                    + end.substring(Math.max(0, end.length() - 40)).replace("\r", "\\r").replace("\n", "\\n"));
        }
        return keep;
    }

    private int run(Path root, Path folder) throws Exception {
        Store store = new Store("127.0.0.1");
        String route = "\"host\":\"h.example\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":2,"
                + "\"max_attempts\":2,\"service\":\"tally-app\"}";
        store.put("op", "config", "{\"version\":3,\"routes\":[{\"name\":\"cast\",\"prefix\":\"/cast/\",\"kind\":\"unsafe\","
                + route + ",{\"name\":\"look\",\"prefix\":\"/look/\",\"kind\":\"safe\"," + route
                + "],\"services\":[{\"name\":\"tally-app\",\"max_connections\":192}],\"tenants\":[{\"name\":\"t1\","
                + "\"api_keys\":[\"k1\"]}],\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":5000,\"idle_timeout_ms\":10000}}");
        for (int i = 0; i < 3; i++) {
            store.put("servers", "i-" + i, "{\"service\":\"tally-app\",\"address\":\"" + listen(i, "127.0.0." + (20 + i))
                    + "\",\"zone\":\"a\",\"version\":\"1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,"
                    + "\"sequence\":1,\"born\":1700000000000}");
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
            long end = record.millis() + TRAFFIC_MILLIS;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int client = i;
                clients.add(daemon(() -> sendTraffic(entries.get(client % 2), client, end)));
            }
            for (Thread client : clients) {
                client.join();
            }
        } finally {
            entries.forEach(Entry::kill);
        }
        record.add("whole answers " + whole + ", failures " + failures + ", stutters " + stuttered.size() + " in "
                + answersOfFirst + " answers of i-0, successes whose body is not the runner's " + mixed);
        if (whole.get() < 1000) {
            return 2;
        }
        return mixed.get() > 0 ? 1 : 0;
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toRealPath();
        Path folder = Files.createTempDirectory("review-10");
        int result = 2;
        try (Record record = new Record(Path.of(arguments[1]))) {
            result = new StutteringRunner(record, !"0".equals(System.getenv("TROUBLE"))).run(root, folder);
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }
}
