package org.geraniumford.daemon.entry;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.core.wire.Role;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;
import org.geraniumford.transport.link.LinkIdentity;
import org.geraniumford.transport.link.LinkListener;
import org.geraniumford.transport.link.LinkNetwork;

/** A sidecar whose responses are set by a test. By default it responds as a healthy one does. */
final class FakeSidecar implements LinkHandler, AutoCloseable {
    static final String WEIGHTS = "w1";
    static final String VERSION = "v1";

    private final Message.SidecarState state;
    private final Queue<Message> received = new ConcurrentLinkedQueue<>();
    private final List<Link> links = new CopyOnWriteArrayList<>();
    private final LinkListener listener;
    private volatile BiConsumer<Link, Message> behaviour = FakeSidecar::respond;

    private FakeSidecar(EventLoopGroup group, String name, Message.SidecarState state) {
        this.state = state;
        Message.Hello hello = new Message.Hello(name, Role.SIDECAR, "kigali-a", name);
        this.listener = LinkNetwork.of(group, new LinkIdentity(hello, 5, () -> 1))
                .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this)
                .join();
    }

    // -- construction

    static FakeSidecar engine(EventLoopGroup group, String name) {
        return new FakeSidecar(group, name, new Message.SidecarState("", VERSION, WEIGHTS, 1, false, 0));
    }

    static FakeSidecar service(EventLoopGroup group, String name, String service) {
        return new FakeSidecar(group, name, new Message.SidecarState(service, "", "", 1, false, 0));
    }

    // -- queries

    InetSocketAddress address() {
        return listener.address();
    }

    boolean hasReceived(Class<? extends Message> type) {
        return received.stream().anyMatch(type::isInstance);
    }

    // -- commands

    void setBehaviour(BiConsumer<Link, Message> newBehaviour) {
        behaviour = newBehaviour;
    }

    /** Closes the open links but keeps accepting new ones. */
    void closeLinks() {
        links.forEach(Link::close);
    }

    @Override
    public void close() {
        listener.close();
        closeLinks();
    }

    // -- behaviours

    /** Responds to a message as a healthy sidecar does. */
    static void respond(Link link, Message message) {
        if (message instanceof Message.Submit submit) {
            sendStarted(link, submit);
            sendTokens(link, submit, submit.resumeOffset(), submit.maxTokens());
            link.send(new Message.End(submit.id(), submit.maxTokens(), "length", 10, 0));
        } else if (message instanceof Message.Probe probe) {
            link.send(new Message.ProbeResponse(probe.id(), 0, 0, 0, 1, false));
        } else if (message instanceof Message.Ping ping) {
            link.send(new Message.Pong(ping.id()));
        } else if (message instanceof Message.Call call) {
            link.send(new Message.CallResponse(call.id(), 200, "text/plain", call.method() + " " + call.path()));
        }
    }

    static void sendStarted(Link link, Message.Submit submit) {
        link.send(new Message.Started(submit.id(), 1, WEIGHTS, 0));
    }

    /** Sends the tokens from one offset, inclusive, to another, exclusive. */
    static void sendTokens(Link link, Message.Submit submit, int fromOffset, int toOffset) {
        IntStream.range(fromOffset, toOffset)
                .forEach(offset -> link.send(new Message.Chunk(submit.id(), offset, List.of("t" + offset + " "))));
    }

    // -- links

    @Override
    public void opened(Link link) {
        links.add(link);
        link.send(state);
    }

    @Override
    public void received(Link link, Envelope envelope) {
        received.add(envelope.message());
        behaviour.accept(link, envelope.message());
    }

    @Override
    public void closed(Link link, boolean broken) {
        links.remove(link);
    }
}
