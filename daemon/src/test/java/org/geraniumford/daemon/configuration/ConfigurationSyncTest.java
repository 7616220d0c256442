package org.geraniumford.daemon.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.close.Closer;
import org.geraniumford.core.configuration.ConfigurationFile;
import org.geraniumford.core.configuration.ConfigurationHolder;
import org.geraniumford.core.configuration.Publication;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.geraniumford.daemon.store.MemoryStore;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;
import org.geraniumford.transport.link.LinkIdentity;
import org.geraniumford.transport.link.LinkNetwork;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class ConfigurationSyncTest {
    private static final long TIMEOUT_SECONDS = 30;

    private final Closer closer = Closer.empty();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final MemoryStore store = new MemoryStore();

    @AfterEach
    void close() {
        closer.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Test
    void shouldLoadFromTheStoreWhenThereAreNoPeers() throws InterruptedException {
        publish("rank = 1");
        TestProcess process = new TestProcess("entry-1", List.of());
        assertThat(process.awaitVersion(1)).isTrue();
    }

    @Test
    void shouldLoadFromAPeerWhenTheStoreIsDownAtTheStart() throws InterruptedException {
        publish("rank = 1");
        TestProcess first = new TestProcess("entry-1", List.of());
        assertThat(first.awaitVersion(1)).isTrue();
        store.setDown(true);
        TestProcess second = new TestProcess("entry-2", List.of(first.address));
        assertThat(second.awaitVersion(1)).isTrue();
        assertThat(second.holder.current()).isEqualTo(first.holder.current());
    }

    @Test
    void shouldLoadEachVersionWhenVersionsArePublishedOneAfterTheOther() throws InterruptedException {
        publish("rank = 1");
        TestProcess process = new TestProcess("entry-1", List.of());
        assertThat(process.awaitVersion(1)).isTrue();
        publish("rank = 2");
        assertThat(process.awaitVersion(2)).isTrue();
        publish("rank = 3");
        assertThat(process.awaitVersion(3)).isTrue();
        assertThat(process.holder.current().priorityClasses().get("a").rank()).isEqualTo(3);
    }

    private void publish(String line) {
        List<ConfigurationFile> files = List.of(ConfigurationFile.of("a.ini", "[class a]\n" + line + "\n"));
        assertThat(ConfigurationPublisher.of(store)
                        .apply(files, Optional.empty(), "commit " + line)
                        .join())
                .isInstanceOf(Publication.Outcome.Applied.class);
    }

    /** A process that keeps its configuration up to date and does nothing else. */
    private final class TestProcess implements LinkHandler {
        private final ConfigurationHolder holder = ConfigurationHolder.empty();
        private final ConfigurationSync sync;
        private final InetSocketAddress address;

        TestProcess(String name, List<InetSocketAddress> seeds) {
            Message.Hello hello = new Message.Hello(name, Role.ENTRY, "kigali-a", "");
            LinkNetwork network = LinkNetwork.of(group, new LinkIdentity(hello, 1, holder::version));
            sync = closer.add(ConfigurationSync.start(holder, store, network, seeds, name.hashCode()));
            address = closer.add(network.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this)
                            .join())
                    .address();
        }

        boolean awaitVersion(long version) throws InterruptedException {
            CountDownLatch reached = new CountDownLatch(1);
            holder.onChange(configuration -> {
                if (configuration.version() >= version) {
                    reached.countDown();
                }
            });
            return holder.version() >= version || reached.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }

        @Override
        public void opened(Link link) {}

        @Override
        public void received(Link link, Envelope envelope) {
            sync.handleMessage(link, envelope);
        }

        @Override
        public void closed(Link link, boolean broken) {}
    }
}
