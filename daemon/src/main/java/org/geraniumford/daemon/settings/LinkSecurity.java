package org.geraniumford.daemon.settings;

import static java.util.Objects.requireNonNull;

import java.nio.file.Path;
import java.util.Optional;
import org.geraniumford.core.close.Closer;
import org.geraniumford.transport.link.LinkTls;
import org.geraniumford.transport.link.TlsFiles;

/**
 * How links are authenticated and encrypted.
 *
 * @param insecure whether links are plain TCP; allowed on loopback addresses only
 * @param certificate the PEM file of this process's certificate chain; empty if insecure
 * @param privateKey the PEM file of the PKCS #8 private key; empty if insecure
 * @param authorities the PEM file of the certificates that sign the peers' certificates; empty if insecure
 */
public record LinkSecurity(boolean insecure, Path certificate, Path privateKey, Path authorities) {
    private static final Path NO_FILE = Path.of("");

    /** Checks the components. */
    public LinkSecurity {
        requireNonNull(certificate, "certificate is null");
        requireNonNull(privateKey, "privateKey is null");
        requireNonNull(authorities, "authorities is null");
    }

    // -- construction

    /**
     * Returns the setting of plain TCP links, without authentication and encryption.
     *
     * @return an insecure setting, allowed on loopback addresses only
     */
    public static LinkSecurity none() {
        return new LinkSecurity(true, NO_FILE, NO_FILE, NO_FILE);
    }

    // -- queries

    /**
     * Loads the files, and loads them again whenever they are replaced.
     *
     * @param closer owns the returned TLS settings; replaced files are loaded until it is closed
     * @return the TLS settings of links; empty if links are plain TCP
     * @throws IllegalArgumentException if the files cannot be used
     */
    public Optional<LinkTls> startTls(Closer closer) {
        return insecure ? Optional.empty() : Optional.of(closer.add(LinkTls.start(tlsFiles())));
    }

    TlsFiles tlsFiles() {
        return new TlsFiles(certificate, privateKey, authorities);
    }
}
