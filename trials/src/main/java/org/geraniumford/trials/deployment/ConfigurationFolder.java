package org.geraniumford.trials.deployment;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.stream.Stream;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.geraniumford.core.configuration.ConfigurationFile;
import org.geraniumford.core.configuration.Publication;
import org.geraniumford.daemon.configuration.ConfigurationPublisher;
import org.geraniumford.transport.platform.PlatformClient;

/** Publishes a configuration folder through the library. */
final class ConfigurationFolder {
    private ConfigurationFolder() {}

    // -- commands

    static Publication.Outcome publish(String platform, Path folder) throws IOException {
        try (AsyncHttpClient client = Dsl.asyncHttpClient(PlatformClient.configuration())) {
            return ConfigurationPublisher.of(PlatformClient.of(URI.create(platform), client))
                    .apply(read(folder), Optional.empty(), UUID.randomUUID().toString())
                    .join();
        }
    }

    private static List<ConfigurationFile> read(Path folder) throws IOException {
        List<Path> paths;
        try (Stream<Path> listed = Files.list(folder)) {
            paths = listed.sorted().toList();
        }
        List<ConfigurationFile> files = new ArrayList<>();
        for (Path path : paths) {
            files.add(ConfigurationFile.of(path.getFileName().toString(), Files.readAllBytes(path)));
        }
        return files;
    }
}
