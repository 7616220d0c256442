package org.geraniumford.daemon.peers;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;
import org.geraniumford.transport.link.LinkIdentity;
import org.geraniumford.transport.link.LinkListener;
import org.geraniumford.transport.link.LinkMemory;
import org.geraniumford.transport.link.LinkNetwork;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a large configuration that does not reach the peers of the only entry that has it, because what all of
 * its links hold is bounded.
 */
final class LargeConfigurationTest {
    /** An eighth of the heap of 64 MB with which a deployment runs an entry. */
    private static final long LINK_BYTES = 7_700_000;

    /** How fast the slowest link of a deployment carries a document, in steps of 50 ms. */
    private static final int BYTES_PER_STEP = 20_000;

    private static final long STEP_MILLIS = 50;
    private static final int DOCUMENT_CHARS = 500_000;
    private static final long HEARTBEAT_MILLIS = 450;

    /** The shortest time within which a deployment expects a new configuration to apply. */
    private static final Duration APPLY_TIME = Duration.ofSeconds(2);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    @AfterEach
    void stop() {
        threads.shutdownNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @ParameterizedTest
    @CsvSource({"24, 500000", "24, 0", "35, 500000", "35, 0"})
    void shouldReachAllPeersInTime(int peers, int knownChars) throws Exception {
        LinkMemory memory = LinkMemory.ofLimit(LINK_BYTES);
        LinkListener listener = network("source", 2, memory)
                .listen(loopback(0), new Source(new Document(2, DOCUMENT_CHARS)))
                .join();
        List<Document> documents = IntStream.range(0, peers)
                .mapToObj(peer -> new Document(1, knownChars))
                .toList();
        for (int peer = 0; peer < peers; peer++) {
            network("peer-" + peer, 1, LinkMemory.ofLimit(LINK_BYTES))
                    .connect(slowLinkTo(listener.address()), new Follower(documents.get(peer)))
                    .join();
        }
        group.scheduleAtFixedRate(
                () -> links.forEach(link -> link.send(new Message.Ping(1))),
                HEARTBEAT_MILLIS,
                HEARTBEAT_MILLIS,
                TimeUnit.MILLISECONDS);
        long startNanos = System.nanoTime();
        while (documents.stream().anyMatch(document -> document.version < 2)
                && System.nanoTime() - startNanos < APPLY_TIME.multipliedBy(4).toNanos()) {
            Thread.sleep(STEP_MILLIS);
        }
        Duration elapsed = Duration.ofNanos(System.nanoTime() - startNanos);
        assertThat(memory.evictions()).isZero();
        assertThat(documents).allMatch(document -> document.version == 2);
        assertThat(elapsed).isLessThan(APPLY_TIME);
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private LinkNetwork network(String host, long version, LinkMemory memory) {
        Message.Hello hello = new Message.Hello(host, Role.ENTRY, "here", "");
        return LinkNetwork.of(group, new LinkIdentity(hello, 1, () -> version), Runnable::run, memory);
    }

    /** Opens a port from which one connection goes on to an address, and back at the speed of a slow link. */
    private InetSocketAddress slowLinkTo(InetSocketAddress target) throws IOException {
        ServerSocket port = new ServerSocket();
        port.bind(loopback(0));
        threads.submit(() -> {
            try (port;
                    Socket near = port.accept();
                    Socket far = new Socket()) {
                far.setReceiveBufferSize(BYTES_PER_STEP);
                far.connect(target);
                threads.submit(() -> near.getInputStream().transferTo(far.getOutputStream()));
                byte[] bytes = new byte[BYTES_PER_STEP];
                for (int read = far.getInputStream().read(bytes);
                        read >= 0;
                        read = far.getInputStream().read(bytes)) {
                    near.getOutputStream().write(bytes, 0, read);
                    Thread.sleep(STEP_MILLIS * read / BYTES_PER_STEP);
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return null;
        });
        return loopback(port.getLocalPort());
    }

    // -- stand-ins

    /** The configuration of one entry. */
    private static final class Document implements ConfigurationRelay {
        private volatile long version;
        private volatile String text;

        Document(long version, int chars) {
            this.version = version;
            this.text = "x".repeat(chars);
        }

        @Override
        public long version() {
            return version;
        }

        @Override
        public Optional<String> document() {
            return text.isEmpty() ? Optional.empty() : Optional.of(text);
        }

        @Override
        public void applyDocument(String document, String peer) {
            text = document;
            version = 2;
        }
    }

    /** The entry that has the new configuration. */
    private final class Source implements LinkHandler {
        private final ConfigurationExchange exchange;

        Source(Document document) {
            exchange = new ConfigurationExchange(document);
        }

        @Override
        public void opened(Link link) {
            links.add(link);
        }

        @Override
        public void received(Link link, Envelope envelope) {
            if (envelope.message() instanceof Message.ConfigurationRequest request) {
                exchange.requested(link, request);
            }
        }

        @Override
        public void closed(Link link, boolean broken) {
            links.remove(link);
        }
    }

    /** An entry that hears of it. */
    private static final class Follower implements LinkHandler {
        private final ConfigurationExchange exchange;

        Follower(Document document) {
            exchange = new ConfigurationExchange(document);
        }

        @Override
        public void opened(Link link) {
            // The source tells its version with its first message.
        }

        @Override
        public void received(Link link, Envelope envelope) {
            if (envelope.message() instanceof Message.ConfigurationResponse response) {
                exchange.responded("source", response);
            }
            exchange.versionHeard(link, envelope.configurationVersion());
        }

        @Override
        public void closed(Link link, boolean broken) {
            // The test counts what arrives.
        }
    }
}
