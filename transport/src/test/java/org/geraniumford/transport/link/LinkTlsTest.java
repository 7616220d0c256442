package org.geraniumford.transport.link;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class LinkTlsTest {
    private static final Path PEM = Path.of("src", "test", "resources", "tls");
    private static final int TIMEOUT_SECONDS = 30;

    private final Recorder server = new Recorder();
    private EventLoopGroup group;
    private LinkListener listener;

    @TempDir
    Path folder;

    @BeforeEach
    void start() throws Exception {
        group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        copy("first", "ca-a");
        listener = network(Optional.of(LinkTls.of(copiedFiles())))
                .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), server)
                .join();
    }

    @AfterEach
    void stop() {
        listener.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    // -- peers

    @Test
    void shouldExchangeMessagesWhenBothCertificatesAreSignedByTheAuthority() throws Exception {
        Recorder client = new Recorder();
        connect(Optional.of(files("second", "ca-a")), client).join();
        assertThat(server.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isInstanceOf(Message.Hello.class);
        assertThat(client.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isInstanceOf(Message.Hello.class);
    }

    @Test
    void shouldNeverOpenTheLinkWhenTheClientIsSignedByAnotherAuthority() {
        Recorder client = new Recorder();
        // The client's handshake may end either way; only the server's view is checked.
        connect(Optional.of(files("stranger", "ca-a")), client)
                .handle((done, failure) -> 0)
                .join();
        assertOnlyTrustedPeersConnect();
    }

    @Test
    void shouldFailToConnectWhenTheServerIsSignedByAnotherAuthority() {
        assertThat(connect(Optional.of(files("second", "ca-b")), new Recorder()))
                .failsWithin(java.time.Duration.ofSeconds(TIMEOUT_SECONDS));
        assertOnlyTrustedPeersConnect();
    }

    @Test
    void shouldNeverOpenTheLinkWhenTheClientConnectsWithoutTls() {
        connect(Optional.empty(), new Recorder()).join();
        assertOnlyTrustedPeersConnect();
    }

    /** Checks that the first message and the only link at the server are those of a trusted peer that connects now. */
    private void assertOnlyTrustedPeersConnect() {
        connect(Optional.of(files("second", "ca-a")), "trusted", new Recorder()).join();
        Message.Hello first = (Message.Hello) server.next();
        assertThat(first.processId()).isEqualTo("trusted");
        assertThat(server.opened).hasSize(1);
    }

    // -- reloading

    @Test
    void shouldUseReplacedFilesWhenReloaded() throws Exception {
        LinkTls tls = LinkTls.of(copiedFiles());
        assertThat(tls.reload()).isFalse();
        copy("stranger", "ca-a");
        assertThat(tls.reload()).isTrue();
    }

    @Test
    void shouldKeepTheEarlierFilesWhenReplacedOnesAreBroken() throws Exception {
        LinkTls tls = LinkTls.of(copiedFiles());
        Files.writeString(folder.resolve("own.pem"), "broken");
        assertThat(tls.reload()).isFalse();
        Recorder client = new Recorder();
        network(Optional.of(tls)).connect(listener.address(), client).join();
        assertThat(server.next()).isInstanceOf(Message.Hello.class);
    }

    @Test
    void shouldNameTheFileWhenItIsMissing() {
        TlsFiles missing = new TlsFiles(PEM.resolve("none.pem"), PEM.resolve("first.key"), PEM.resolve("ca-a.pem"));
        assertThatThrownBy(() -> LinkTls.of(missing))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("none.pem");
    }

    // -- support

    private CompletableFuture<Void> connect(Optional<TlsFiles> files, Recorder client) {
        return connect(files, "peer", client);
    }

    private CompletableFuture<Void> connect(Optional<TlsFiles> files, String processId, Recorder client) {
        return network(processId, files.map(LinkTls::of)).connect(listener.address(), client);
    }

    private LinkNetwork network(Optional<LinkTls> tls) {
        return network("sidecar-1", tls);
    }

    private LinkNetwork network(String processId, Optional<LinkTls> tls) {
        Message.Hello hello = new Message.Hello(processId, Role.SIDECAR, "kigali-a", "");
        return LinkNetwork.of(group, new LinkIdentity(hello, 1, () -> 1), tls);
    }

    private static TlsFiles files(String name, String authority) {
        return new TlsFiles(PEM.resolve(name + ".pem"), PEM.resolve(name + ".key"), PEM.resolve(authority + ".pem"));
    }

    private TlsFiles copiedFiles() {
        return new TlsFiles(folder.resolve("own.pem"), folder.resolve("own.key"), folder.resolve("ca.pem"));
    }

    /**
     * Copies a certificate, its key and an authority to the files in use. If these replace others, the certificate file
     * gets a later modification time, so that the replacement is detected even if all lengths are equal.
     */
    private void copy(String name, String authority) throws Exception {
        boolean first = !Files.exists(folder.resolve("own.pem"));
        Files.copy(PEM.resolve(name + ".pem"), folder.resolve("own.pem"), StandardCopyOption.REPLACE_EXISTING);
        Files.copy(PEM.resolve(name + ".key"), folder.resolve("own.key"), StandardCopyOption.REPLACE_EXISTING);
        Files.copy(PEM.resolve(authority + ".pem"), folder.resolve("ca.pem"), StandardCopyOption.REPLACE_EXISTING);
        Instant modified = first ? Instant.EPOCH : Instant.EPOCH.plusSeconds(60);
        Files.setLastModifiedTime(folder.resolve("own.pem"), FileTime.from(modified));
    }

    private static final class Recorder implements LinkHandler {
        private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
        private final BlockingQueue<Link> opened = new LinkedBlockingQueue<>();

        Message next() {
            try {
                return received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void opened(Link link) {
            opened.add(link);
        }

        @Override
        public void received(Link link, Envelope envelope) {
            received.add(envelope.message());
        }

        @Override
        public void closed(Link link, boolean broken) {}
    }
}
