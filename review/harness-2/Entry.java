import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/** One process of the project, started with the command of the deploy file. */
final class Entry {
    final String name;
    final String ip;
    final int front;
    final int ready;
    final Path settings;
    final Path log;
    final Path root;
    Process process;

    Entry(Path root, Path folder, String name, String ip, String zone, String store, int internalPort, List<String> seeds)
            throws IOException {
        this.root = root;
        this.name = name;
        this.ip = ip;
        this.front = freePort(ip);
        this.ready = freePort(ip);
        this.settings = folder.resolve(name + ".conf");
        this.log = folder.resolve(name + ".log");
        List<String> lines = new ArrayList<>(List.of(
                "node=" + name, "role=entry", "machine_class=front", "serves=front,control", "ip=" + ip, "zone=" + zone,
                "region=r", "zones." + zone + "=r", "listen.front=" + ip + ":" + front,
                "listen.readiness=" + ip + ":" + ready, "listen.control=" + ip + ":" + freePort(ip),
                "internal_ports=" + internalPort + "," + (internalPort + 15), "seeds=" + String.join(",", seeds),
                "bootstrap=true", "limits.cpu_share=0.39", "limits.cores=1", "limits.memory_mb=352",
                "limits.max_fds=2118", "heartbeat_ms=1200", "bounds.contact_ms=3000", "bounds.ack_ms=4000",
                "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.config_apply_ms=2000",
                "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=104",
                "bounds.lease_ms=3000", "bounds.thaw_slack_ms=300", "bounds.version_ms=8000",
                "bounds.version_all_ms=11000", "platform.address=" + store, "platform.form=table"));
        Files.write(settings, lines);
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(ip, 0));
            return socket.getLocalPort();
        }
    }

    void start() throws IOException {
        String run = "";
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            inRole = line.startsWith("[") ? line.equals("[roles.entry]") : inRole;
            if (inRole && line.startsWith("run = ")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.split(" ")));
        builder.directory(root.toFile()).redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
        builder.environment().put("GERANIUMFORD_NODE_FILE", settings.toString());
        process = builder.start();
        // Also if the script is stopped.
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, ready), 300);
            socket.setSoTimeout(500);
            socket.getOutputStream()
                    .write("GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            byte[] start = socket.getInputStream().readNBytes(12);
            return new String(start, StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
