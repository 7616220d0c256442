package org.geraniumford.transport.link;

import static java.util.Objects.requireNonNull;

import java.io.File;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * The PEM files with which a process authenticates itself and its peers.
 *
 * @param certificate the file of the process's certificate chain
 * @param privateKey the file of the certificate's private key in PKCS #8 format
 * @param authorities the file of the certificates that sign the peers' certificates
 */
public record TlsFiles(Path certificate, Path privateKey, Path authorities) {
    /** Checks the components. */
    public TlsFiles {
        requireNonNull(certificate, "certificate is null");
        requireNonNull(privateKey, "privateKey is null");
        requireNonNull(authorities, "authorities is null");
    }

    // -- queries

    /** Returns the modification times and lengths of all files, which change when a file is replaced. */
    List<Long> fingerprint() {
        return Stream.of(certificate, privateKey, authorities)
                .map(Path::toFile)
                .flatMap(file -> Stream.of(file.lastModified(), file.length()))
                .toList();
    }

    File certificateFile() {
        return certificate.toFile();
    }

    File privateKeyFile() {
        return privateKey.toFile();
    }

    File authoritiesFile() {
        return authorities.toFile();
    }
}
