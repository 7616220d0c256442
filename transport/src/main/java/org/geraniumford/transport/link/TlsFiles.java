package org.geraniumford.transport.link;

import static java.util.Objects.requireNonNull;

import java.io.File;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * The PEM files with which a process proves who it is and checks its peers.
 *
 * @param certificate the process's certificate chain
 * @param privateKey the certificate's PKCS #8 private key
 * @param authorities the certificates that sign the peers' certificates
 */
public record TlsFiles(Path certificate, Path privateKey, Path authorities) {
    /** Checks the components. */
    public TlsFiles {
        requireNonNull(certificate, "certificate is null");
        requireNonNull(privateKey, "privateKey is null");
        requireNonNull(authorities, "authorities is null");
    }

    // -- queries

    /** Returns what changes whenever a file is replaced: the times and lengths of all files. */
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
