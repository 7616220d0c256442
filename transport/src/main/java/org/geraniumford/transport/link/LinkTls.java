package org.geraniumford.transport.link;

import static java.util.Objects.requireNonNull;

import io.netty.channel.Channel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;
import java.time.Duration;
import java.util.List;
import javax.net.ssl.SSLException;
import org.geraniumford.transport.log.LogEvent;
import org.geraniumford.transport.worker.Worker;
import org.geraniumford.transport.worker.WorkerHandler;

/**
 * Mutual TLS for links. A peer is trusted if one of the authorities signed its certificate; the peer's address is not
 * compared with the certificate. Replaced files apply to later connections. Thread-safe.
 */
public final class LinkTls implements AutoCloseable {
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);
    private static final int RING_EVENTS = 2;

    private final TlsFiles files;
    private volatile Contexts contexts;
    /**
     * The files' fingerprint at the last attempt to load them. It is also stored if the attempt failed, so that the
     * same files are not loaded again.
     */
    private volatile List<Long> checkedFingerprint;

    /** Checks the files at each tick and receives no events; null if the files are reloaded only on request. */
    private volatile Worker<Boolean> reloadWorker;

    /** The TLS contexts of new connections: one for those that this process accepts, one for those that it opens. */
    private record Contexts(SslContext server, SslContext client) {
        static Contexts of(TlsFiles files) throws SSLException {
            SslContext server = SslContextBuilder.forServer(files.certificateFile(), files.privateKeyFile())
                    .trustManager(files.authoritiesFile())
                    .clientAuth(ClientAuth.REQUIRE)
                    .build();
            SslContext client = SslContextBuilder.forClient()
                    .keyManager(files.certificateFile(), files.privateKeyFile())
                    .trustManager(files.authoritiesFile())
                    .endpointIdentificationAlgorithm(null)
                    .build();
            return new Contexts(server, client);
        }
    }

    private LinkTls(TlsFiles files, Contexts contexts, List<Long> checkedFingerprint) {
        this.files = files;
        this.contexts = contexts;
        this.checkedFingerprint = checkedFingerprint;
    }

    // -- construction

    /**
     * Reads the files and checks once a second from then on whether they were replaced.
     *
     * @param files the files of the certificate, private key and authorities
     * @return TLS settings that are updated from replaced files until {@link #close} is called
     * @throws IllegalArgumentException if the files cannot be used; the message names the cause
     */
    public static LinkTls start(TlsFiles files) {
        LinkTls tls = of(files);
        tls.reloadWorker = Worker.start("tls", RING_EVENTS, CHECK_INTERVAL, new WorkerHandler<>() {
            @Override
            public void handle(Boolean event) {}

            @Override
            public void tick() {
                tls.reload();
            }
        });
        return tls;
    }

    /**
     * Reads the files once.
     *
     * @param files the files of the certificate, private key and authorities
     * @return TLS settings that change only when {@link #reload} is called
     * @throws IllegalArgumentException if the files cannot be used; the message names the cause
     */
    public static LinkTls of(TlsFiles files) {
        requireNonNull(files, "files is null");
        List<Long> fingerprint = files.fingerprint();
        try {
            return new LinkTls(files, Contexts.of(files), fingerprint);
        } catch (SSLException | RuntimeException e) {
            throw new IllegalArgumentException(rootMessage(e), e);
        }
    }

    // -- commands

    /**
     * Reads the files again if they were replaced. If the new files cannot be used, the earlier ones stay in use.
     *
     * @return true if the files were replaced and the new ones are now in use
     */
    public boolean reload() {
        List<Long> fingerprint = files.fingerprint();
        if (fingerprint.equals(checkedFingerprint)) {
            return false;
        }
        checkedFingerprint = fingerprint;
        try {
            contexts = Contexts.of(files);
            LogEvent.of("tls_reloaded").with("certificate", files.certificate()).info();
            return true;
        } catch (SSLException | RuntimeException e) {
            LogEvent.of("tls_reload_failed")
                    .with("certificate", files.certificate())
                    .with("message", rootMessage(e))
                    .warn();
            return false;
        }
    }

    /** Stops checking for replaced files. Open connections stay open. */
    @Override
    public void close() {
        if (reloadWorker != null) {
            reloadWorker.close();
        }
    }

    // -- queries

    /**
     * Creates the TLS handler of a connection.
     *
     * @param channel the connection
     * @param server whether this process accepted the connection
     */
    SslHandler handler(Channel channel, boolean server) {
        SslContext context = server ? contexts.server() : contexts.client();
        return context.newHandler(channel.alloc());
    }

    private static String rootMessage(Throwable failure) {
        Throwable cause = failure.getCause();
        return cause == null ? String.valueOf(failure.getMessage()) : rootMessage(cause);
    }
}
