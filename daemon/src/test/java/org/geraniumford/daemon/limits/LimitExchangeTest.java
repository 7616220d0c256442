package org.geraniumford.daemon.limits;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.geraniumford.core.close.Closer;
import org.geraniumford.core.configuration.Configuration;
import org.geraniumford.core.configuration.ConfigurationHolder;
import org.geraniumford.core.configuration.ConfigurationParser;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.configuration.ParsedConfiguration;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.membership.HostKind;
import org.geraniumford.core.membership.HostState;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;
import org.geraniumford.transport.link.LinkIdentity;
import org.geraniumford.transport.link.LinkNetwork;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against customers that never get a share, because their owner is another entry and no grant reaches this one.
 */
final class LimitExchangeTest {
    private static final long TIMEOUT_SECONDS = 30;

    private final Closer closer = Closer.empty();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final ConfigurationHolder configurations = ConfigurationHolder.empty();
    private volatile List<Host> hosts = List.of();

    @AfterEach
    void close() {
        closer.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Test
    void shouldReceiveAShareFromTheOwnerWhenAnotherEntryOwnsTheCustomer() throws InterruptedException {
        assertThat(ConfigurationParser.parse(1, configurationText()))
                .isInstanceOfSatisfying(
                        ParsedConfiguration.Accepted.class,
                        accepted -> configurations.updateIfNewer(accepted.configuration()));
        Entry first = new Entry("entry-1");
        Entry second = new Entry("entry-2");
        hosts = List.of(first.host(), second.host());
        Configuration current = configurations.current();
        List<Customer> customers = List.copyOf(current.customers().values());
        customers.forEach(customer -> first.exchange.admit(customer, 1));
        assertThat(second.usageReports.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(customers).allMatch(customer -> awaitShare(first, customer));
    }

    /**
     * Waits until an entry has a share for a customer; an entry grants one to itself for the customers that it owns.
     */
    private static boolean awaitShare(Entry entry, Customer customer) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (entry.exchange.share(customer.name()).isEmpty() && System.nanoTime() < deadlineNanos) {
            entry.exchange.admit(customer, 1);
            Thread.onSpinWait();
        }
        return entry.exchange.share(customer.name()).isPresent();
    }

    private static String configurationText() {
        return IntStream.range(0, 20)
                .mapToObj(i -> "[customer c" + i + "]\nrequests_per_second = 100\n")
                .collect(Collectors.joining());
    }

    /** An entry that only exchanges limits. */
    private final class Entry implements LinkHandler {
        private final String name;
        private final CountDownLatch usageReports = new CountDownLatch(1);
        private final LimitExchange exchange;
        private final InetSocketAddress address;

        Entry(String name) {
            this.name = name;
            Message.Hello hello = new Message.Hello(name, Role.ENTRY, "kigali-a", "");
            LinkNetwork network = LinkNetwork.of(group, new LinkIdentity(hello, 1, configurations::version));
            exchange = closer.add(LimitExchange.start(name, configurations, () -> hosts, network));
            address = closer.add(network.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this)
                            .join())
                    .address();
        }

        Host host() {
            String hostAndPort = address.getAddress().getHostAddress() + ":" + address.getPort();
            return new Host(name, HostKind.ENTRY, hostAndPort, "kigali-a", HostState.LIVE);
        }

        @Override
        public void opened(Link link) {}

        @Override
        public void received(Link link, Envelope envelope) {
            if (exchange.handleMessage(link, envelope) && envelope.message() instanceof Message.LimitUsageReport) {
                usageReports.countDown();
            }
        }

        @Override
        public void closed(Link link, boolean broken) {}
    }
}
