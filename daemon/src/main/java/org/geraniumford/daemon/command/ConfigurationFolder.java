package org.geraniumford.daemon.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.geraniumford.core.configuration.ConfigurationFile;

/** Reads the operators' folder of configuration files. */
public final class ConfigurationFolder {
    private static final String FILE_EXTENSION = ".ini";

    private ConfigurationFolder() {}

    // -- queries

    /**
     * Reads every configuration file of a folder.
     *
     * @param folder the folder; files whose names do not end in {@code .ini} are ignored
     * @return the files, sorted by name
     * @throws IOException if the folder or a file cannot be read
     */
    public static List<ConfigurationFile> read(Path folder) throws IOException {
        List<Path> paths;
        try (Stream<Path> children = Files.list(folder)) {
            paths = children.filter(path -> path.toString().endsWith(FILE_EXTENSION))
                    .sorted()
                    .toList();
        }
        List<ConfigurationFile> files = new ArrayList<>();
        for (Path path : paths) {
            files.add(ConfigurationFile.of(path.getFileName().toString(), Files.readAllBytes(path)));
        }
        return List.copyOf(files);
    }
}
