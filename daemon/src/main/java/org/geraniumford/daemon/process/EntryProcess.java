package org.geraniumford.daemon.process;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.close.Closer;
import org.geraniumford.daemon.entry.EntryDaemon;
import org.geraniumford.daemon.operator.ManagedProcess;
import org.geraniumford.daemon.operator.OperatorServer;
import org.geraniumford.daemon.operator.ProcessStatus;
import org.geraniumford.daemon.settings.EntrySettings;

/** An entry process: the entry with its operator port. */
public final class EntryProcess implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OPERATOR_THREADS = 1;
    private static final long EVENT_LOOP_SHUTDOWN_SECONDS = 1;

    private final EntryDaemon daemon;
    private final OperatorServer operatorServer;
    private final Closer closer;

    private EntryProcess(EntryDaemon daemon, OperatorServer operatorServer, Closer closer) {
        this.daemon = daemon;
        this.operatorServer = operatorServer;
        this.closer = closer;
    }

    // -- construction

    /**
     * Starts an entry and its operator port.
     *
     * @param settings the settings of the entry
     * @return the running process; the future fails if the entry or its operator port cannot start
     */
    public static CompletableFuture<EntryProcess> start(EntrySettings settings) {
        requireNonNull(settings, "settings is null");
        Closer closer = Closer.empty();
        return EntryDaemon.start(settings)
                .thenApply(closer::add)
                .thenCompose(daemon -> startOperatorServer(daemon, settings, closer))
                .whenComplete((process, failure) -> {
                    if (failure != null) {
                        // Closing blocks, and this may be a network thread.
                        CompletableFuture.runAsync(closer::close);
                    }
                });
    }

    private static CompletableFuture<EntryProcess> startOperatorServer(
            EntryDaemon daemon, EntrySettings settings, Closer closer) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(OPERATOR_THREADS, NioIoHandler.newFactory());
        closer.add(() -> group.shutdownGracefully(0, EVENT_LOOP_SHUTDOWN_SECONDS, TimeUnit.SECONDS));
        return OperatorServer.start(group, settings.operatorAddress(), daemon.registry(), new ManagedEntry(daemon))
                .thenApply(closer::add)
                .thenApply(operatorServer -> new EntryProcess(daemon, operatorServer, closer));
    }

    // -- queries

    /**
     * Returns the address to which callers connect.
     *
     * @return the bound address and port
     */
    public InetSocketAddress callerAddress() {
        return daemon.callerAddress();
    }

    /**
     * Returns the address to which the router's other processes connect.
     *
     * @return the bound address and port
     */
    public InetSocketAddress linkAddress() {
        return daemon.linkAddress();
    }

    /**
     * Returns the address to which operators connect.
     *
     * @return the bound address and port
     */
    public InetSocketAddress operatorAddress() {
        return operatorServer.address();
    }

    /**
     * Returns a future for the end of the entry.
     *
     * @return a future that completes once the entry is closed
     */
    public CompletableFuture<Void> closed() {
        return daemon.closed();
    }

    // -- commands

    /**
     * Refuses new requests from now on, finishes the others, and closes the entry. The operator port stays open until
     * {@link #close}.
     *
     * @return a future that completes once the entry is closed
     */
    public CompletableFuture<Void> drain() {
        return daemon.drain();
    }

    /** Closes the entry and its operator port at once; requests without a response are cut off. */
    @Override
    public void close() {
        closer.close();
    }

    /** Adapts an entry to its operator port. */
    private record ManagedEntry(EntryDaemon daemon) implements ManagedProcess {
        @Override
        public boolean isReady() {
            return daemon.isReady();
        }

        @Override
        public ProcessStatus status() {
            return daemon.status();
        }

        @Override
        public Optional<String> explain(String requestId) {
            return daemon.records().find(requestId).map(ManagedEntry::json);
        }

        @Override
        public CompletableFuture<Void> drain() {
            return daemon.drain();
        }

        private static String json(Object value) {
            try {
                return JSON.writeValueAsString(value);
            } catch (JsonProcessingException e) {
                throw new IllegalStateException("cannot render the explain record as JSON", e);
            }
        }
    }
}
