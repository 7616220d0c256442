import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A stand-in of a runner: accepts channels and lets a behaviour serve each request, one after the other. */
final class Runner implements AutoCloseable {
    /** Serves one request on a channel. */
    interface Behaviour {
        /** Returns whether the channel stays open; the behaviour reads the request's body and writes the answer. */
        boolean serve(Http.Head request, InputStream in, Socket channel) throws IOException, InterruptedException;
    }

    final String id;
    final long born = System.currentTimeMillis();
    private final ServerSocket listener;
    private final Behaviour behaviour;

    Runner(String id, Behaviour behaviour) throws IOException {
        this(id, 0, behaviour);
    }

    /** Creates a runner whose channels have receive buffers of the given size, as links with small windows have. */
    Runner(String id, int receiveBuffer, Behaviour behaviour) throws IOException {
        this.id = id;
        this.behaviour = behaviour;
        listener = new ServerSocket();
        if (receiveBuffer > 0) {
            listener.setReceiveBufferSize(receiveBuffer);
        }
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
        start(this::accept);
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns the runner's row in the table of servers. */
    String row(String service, String zone, int slots) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":1,\"slots\":" + slots + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,"
                + "\"born\":" + born + "}";
    }

    private void accept() {
        try {
            while (true) {
                Socket channel = listener.accept();
                start(() -> serve(channel));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private void serve(Socket channel) {
        try (channel) {
            channel.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(channel.getInputStream(), 4096);
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                if (!behaviour.serve(head, in, channel)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed the channel.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
