import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in of the platform's store: rows, the feed of their changes, and transactions of one row, in memory. */
final class Store implements AutoCloseable {
    private record Row(String table, String key, String value, long version, boolean removed) {
        String json() {
            return "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key + "\",\"value\":\"" + value
                    + "\",\"ver\":" + version + (removed ? ",\"removed\":true" : "") + "}";
        }
    }

    private final HttpServer server;
    private final Map<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version = 1;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        ThreadFactory daemons = task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        };
        server.setExecutor(Executors.newCachedThreadPool(daemons));
        server.createContext("/-/rows-get", exchange -> respond(exchange, 200, get(query(exchange))));
        server.createContext("/-/rows-feed", exchange -> respond(exchange, 200, feed(query(exchange))));
        server.createContext("/-/rows-tx", this::transact);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    // -- the operator's and the runners' writes

    synchronized void put(String table, String key, String value) {
        change(table, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), false);
    }

    synchronized void remove(String table, String key) {
        change(table, key, "", true);
    }

    private void change(String table, String key, String value, boolean removed) {
        Row row = new Row(table, key, value, ++version, removed);
        if (removed) {
            rows.remove(table + "/" + key);
        } else {
            rows.put(table + "/" + key, row);
        }
        history.add(row);
        notifyAll();
    }

    // -- calls

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        exchange.getRequestBody().readAllBytes();
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        for (String pair : exchange.getRequestURI().getQuery().split("&")) {
            int equals = pair.indexOf('=');
            values.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return values;
    }

    private String page(List<Row> page) {
        List<String> texts = page.stream().map(Row::json).toList();
        return "{\"rows\":[" + String.join(",", texts) + "],\"has_more\":false,\"ver\":" + version + ",\"now_ms\":"
                + System.nanoTime() / 1_000_000 + "}";
    }

    private synchronized String get(Map<String, String> query) {
        return page(rows.values().stream()
                .filter(row -> row.table().equals(query.get("table")))
                .filter(row -> row.key().compareTo(query.getOrDefault("from", "")) >= 0)
                .toList());
    }

    private synchronized String feed(Map<String, String> query) {
        long after = Long.parseLong(query.get("after"));
        long endNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        List<Row> changes = changes(query.get("table"), after);
        while (changes.isEmpty() && System.nanoTime() < endNanos) {
            try {
                wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
            changes = changes(query.get("table"), after);
        }
        return page(changes);
    }

    private List<Row> changes(String table, long after) {
        Map<String, Row> newest = new LinkedHashMap<>();
        history.stream().filter(row -> row.table().equals(table) && row.version() > after).forEach(row -> {
            newest.remove(row.key());
            newest.put(row.key(), row);
        });
        return List.copyOf(newest.values());
    }

    /** Applies a transaction whose entries are flat objects, in the order "expected" before "writes". */
    private void transact(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        int status;
        String response;
        synchronized (this) {
            boolean holds = entries(body, "expected").stream().allMatch(entry -> {
                Row row = rows.get(entry.get("table") + "/" + entry.get("key"));
                return (row == null ? 0 : row.version()) == Long.parseLong(entry.get("ver"));
            });
            status = holds ? 200 : 412;
            if (holds) {
                entries(body, "writes").forEach(entry ->
                        change(entry.get("table"), entry.get("key"), entry.get("value"), false));
            }
            response = page(List.of());
        }
        respond(exchange, status, response);
    }

    private static List<Map<String, String>> entries(String body, String field) {
        Matcher list = Pattern.compile("\"" + field + "\":\\[([^\\]]*)\\]").matcher(body);
        List<Map<String, String>> entries = new ArrayList<>();
        if (list.find()) {
            Matcher object = Pattern.compile("\\{([^}]*)\\}").matcher(list.group(1));
            while (object.find()) {
                Map<String, String> values = new HashMap<>();
                Matcher pair = Pattern.compile("\"(\\w+)\":(?:\"([^\"]*)\"|(\\d+))").matcher(object.group(1));
                while (pair.find()) {
                    values.put(pair.group(1), pair.group(2) == null ? pair.group(3) : pair.group(2));
                }
                entries.add(values);
            }
        }
        return entries;
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
