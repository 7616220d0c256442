import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A stand-in of the platform's store: rows in memory, reads, feeds and transactions as PROTOCOL.md describes them. */
final class Store {
    private static final ObjectMapper JSON = new ObjectMapper();
    private final Map<String, ObjectNode> rows = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private long version = 1;
    private final long startNanos = System.nanoTime();
    final HttpServer server;

    Store(String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    synchronized void put(String table, String key, String json) {
        put(table, "", key, json);
    }

    synchronized void put(String table, String part, String key, String json) {
        change(table, part, key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), false);
    }

    synchronized void remove(String table, String key) {
        change(table, "", key, "", true);
    }

    private void change(String table, String part, String key, String value, boolean removed) {
        version++;
        ObjectNode row = JSON.createObjectNode().put("table", table).put("part", part).put("key", key);
        row.put("value", value).put("ver", version);
        if (removed) {
            row.put("removed", true);
            rows.remove(table + "\n" + part + "\n" + key);
        } else {
            rows.put(table + "\n" + part + "\n" + key, row);
        }
        history.add(row);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        ObjectNode answer = JSON.createObjectNode();
        int status;
        try {
            Map<String, String> query = new HashMap<>();
            String text = exchange.getRequestURI().getRawQuery();
            if (text != null) {
                for (String pair : text.split("&")) {
                    int at = pair.indexOf('=');
                    query.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
                }
            }
            switch (exchange.getRequestURI().getPath()) {
                case "/-/rows-get" -> status = get(query, answer);
                case "/-/rows-feed" -> status = feed(query, answer);
                case "/-/rows-tx" -> status = transact(JSON.readTree(body), answer);
                default -> status = 404;
            }
        } catch (InterruptedException e) {
            status = 503;
        }
        answer.put("now_ms", (System.nanoTime() - startNanos) / 1_000_000 + 1_000_000);
        byte[] bytes = JSON.writeValueAsBytes(answer);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized int get(Map<String, String> query, ObjectNode answer) {
        ArrayNode found = answer.putArray("rows");
        for (ObjectNode row : rows.values()) {
            if (row.path("table").asText().equals(query.get("table"))
                    && row.path("part").asText().equals(query.getOrDefault("part", ""))
                    && row.path("key").asText().compareTo(query.getOrDefault("from", "")) >= 0) {
                found.add(row);
            }
        }
        answer.put("has_more", false).put("ver", version);
        return 200;
    }

    private synchronized int feed(Map<String, String> query, ObjectNode answer) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            ArrayNode found = answer.putArray("rows");
            for (ObjectNode row : history) {
                if (row.path("ver").asLong() > after
                        && row.path("table").asText().equals(query.get("table"))) {
                    found.add(row);
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                answer.put("ver", version);
                return 200;
            }
            wait(left);
        }
    }

    private static String name(JsonNode row) {
        return row.path("table").asText() + "\n" + row.path("part").asText() + "\n"
                + row.path("key").asText();
    }

    private synchronized int transact(JsonNode body, ObjectNode answer) {
        for (JsonNode expected : body.path("expected")) {
            ObjectNode row = rows.get(name(expected));
            if ((row == null ? 0 : row.path("ver").asLong()) != expected.path("ver").asLong()) {
                ArrayNode current = answer.putArray("rows");
                if (row != null) {
                    current.add(row);
                }
                answer.put("ver", version);
                return 412;
            }
        }
        for (JsonNode write : body.path("writes")) {
            change(
                    write.path("table").asText(),
                    write.path("part").asText(),
                    write.path("key").asText(),
                    write.path("value").asText(),
                    false);
        }
        for (JsonNode removed : body.path("remove")) {
            change(
                    removed.path("table").asText(),
                    removed.path("part").asText(),
                    removed.path("key").asText(),
                    "",
                    true);
        }
        answer.put("ver", version);
        return 200;
    }
}
