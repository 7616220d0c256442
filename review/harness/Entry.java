import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the role "entry", started with the command of the deploy file. */
final class Entry implements AutoCloseable {
    final String ip;
    final int callerPort;
    final int readinessPort;
    private final Path root;
    private final Path settings;
    private final Path output;
    private Process process;

    Entry(Path root, Path folder, String node, String ip, String store) throws IOException {
        this.root = root;
        this.ip = ip;
        callerPort = freePort(ip);
        readinessPort = freePort(ip);
        int controlPort = freePort(ip);
        int peerPort = freePort(ip);
        settings = folder.resolve(node + ".conf");
        output = folder.resolve(node + ".log");
        Files.write(settings, List.of(
                "node=" + node, "role=entry", "machine_class=front", "serves=front,control", "ip=" + ip,
                "zone=zone-a", "region=region-a", "zones.zone-a=region-a",
                "listen.front=" + ip + ":" + callerPort,
                "listen.readiness=" + ip + ":" + readinessPort,
                "listen.control=" + ip + ":" + controlPort,
                "internal_ports=" + peerPort + "," + (peerPort + 1),
                "seeds=" + ip + ":" + controlPort, "bootstrap=true",
                "limits.cpu_share=0.39", "limits.cores=1", "limits.memory_mb=266", "limits.max_fds=2069",
                "discovery=platform", "entry=vip", "heartbeat_ms=1200",
                "bounds.contact_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.config_apply_ms=2000",
                "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=108",
                "bounds.lease_ms=3000", "bounds.version_ms=12000",
                "platform.address=" + store, "platform.form=table"));
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(ip, 0));
            return socket.getLocalPort();
        }
    }

    /** Starts the process and waits until it says that it is ready. */
    void start() throws IOException, InterruptedException {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(root.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("GERANIUMFORD_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(output.toFile());
        process = builder.start();
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!isReady()) {
            if (System.nanoTime() > endNanos || !process.isAlive()) {
                throw new IOException("the entry is not ready");
            }
            Thread.sleep(50);
        }
    }

    private List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no command in the deploy file");
        }
        return List.of(run.group(1).split(" "));
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Asks for readiness as the platform does. */
    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, readinessPort), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write(Http.ascii("GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
            return Http.readResponse(socket.getInputStream()).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Opens a channel of a client. */
    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(ip, callerPort), 1000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Returns the lines of the process's output that contain a text. */
    List<String> output(String text) throws IOException {
        return Files.readAllLines(output).stream().filter(line -> line.contains(text)).toList();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
