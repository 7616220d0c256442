package org.geraniumford.daemon.configuration;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.configuration.ConfigurationFile;
import org.geraniumford.core.configuration.ConfigurationHead;
import org.geraniumford.core.configuration.FolderManifest;
import org.geraniumford.core.configuration.Publication;
import org.geraniumford.core.store.Store;
import org.geraniumford.core.store.StoreRequest;
import org.geraniumford.core.store.TableRow;

/**
 * Reads and publishes configurations in the platform's store on behalf of an operator's command. Thread-safe. The
 * futures of its queries fail with a {@link org.geraniumford.core.verdict.RefusalException} if the store does not
 * respond.
 */
public final class ConfigurationPublisher {
    private final Store store;

    private ConfigurationPublisher(Store store) {
        this.store = store;
    }

    // -- construction

    /**
     * Creates a publisher.
     *
     * @param store the platform's store
     * @return a publisher, which sends no request until one of its methods is called
     */
    public static ConfigurationPublisher of(Store store) {
        return new ConfigurationPublisher(requireNonNull(store, "store is null"));
    }

    // -- queries

    /**
     * Reads the head of the configuration in force.
     *
     * @return the head, or empty if nothing has been published or the row is not valid
     */
    public CompletableFuture<Optional<ConfigurationHead>> head() {
        return readHead(ConfigurationHead.ROW);
    }

    /**
     * Reads the head of the given version, which may be older than the one in force.
     *
     * @param version the version, at least 1
     * @return the head, or empty if there is no such version or its row is not valid
     */
    public CompletableFuture<Optional<ConfigurationHead>> headOfVersion(long version) {
        return readHead(ConfigurationHead.historyRowName(version));
    }

    /**
     * Reads the versions after a given one, oldest first.
     *
     * @param after the version after which to start; 0 starts with the first version
     * @param limit the maximum number of rows to read
     * @return the heads of the versions; rows that cannot be decoded are skipped
     */
    public CompletableFuture<List<ConfigurationHead>> history(long after, int limit) {
        return store.rows(ConfigurationHead.TABLE, ConfigurationHead.historyRowName(after), limit)
                .thenApply(rows -> rows.stream()
                        .map(TableRow::value)
                        .flatMap(value -> ConfigurationHead.decode(value).stream())
                        .toList());
    }

    /**
     * Reads the merged configuration text of a version.
     *
     * @param head the version's head
     * @return the text in INI, or empty if the store does not contain it
     */
    public CompletableFuture<Optional<String>> text(ConfigurationHead head) {
        return store.object(head.digest());
    }

    /**
     * Reads the manifest of a version, which lists its files.
     *
     * @param head the version's head
     * @return the manifest, or empty if the store does not contain it or it is not valid
     */
    public CompletableFuture<Optional<FolderManifest>> manifest(ConfigurationHead head) {
        return store.object(head.manifestDigest()).thenApply(text -> text.flatMap(FolderManifest::decode));
    }

    /**
     * Reads one file of a version.
     *
     * @param digest the file's hexadecimal SHA-256 digest from the manifest
     * @return the file's text, or empty if the store does not contain it
     */
    public CompletableFuture<Optional<String>> file(String digest) {
        return store.object(digest);
    }

    private CompletableFuture<Optional<ConfigurationHead>> readHead(String name) {
        return store.row(ConfigurationHead.TABLE, name)
                .thenApply(row -> row.map(TableRow::value).flatMap(ConfigurationHead::decode));
    }

    // -- commands

    /**
     * Publishes a folder as the configuration in force.
     *
     * @param files the whole folder
     * @param baseVersion the version from which the folder was edited; empty to accept any version in force
     * @param commitId the identifier of the change, unique across all operators
     * @return the outcome of the publication; failures of the store are an outcome, not a failed future
     */
    public CompletableFuture<Publication.Outcome> apply(
            List<ConfigurationFile> files, Optional<Long> baseVersion, String commitId) {
        return performStep(Publication.start(new Publication.Change(files, baseVersion, commitId)));
    }

    private CompletableFuture<Publication.Outcome> performStep(Publication.Step step) {
        if (step.action() instanceof Publication.Action.Finish finish) {
            return CompletableFuture.completedFuture(finish.outcome());
        } else if (step.action() instanceof Publication.Action.RetryRequest retry) {
            Executor delayed = CompletableFuture.delayedExecutor(retry.delayMicros(), TimeUnit.MICROSECONDS);
            return CompletableFuture.runAsync(() -> {}, delayed)
                    .thenCompose(ignored -> sendRequest(step.next(), retry.request()));
        }
        return sendRequest(step.next(), ((Publication.Action.SendRequest) step.action()).request());
    }

    private CompletableFuture<Publication.Outcome> sendRequest(Publication publication, StoreRequest request) {
        return request.perform(store).thenCompose(response -> performStep(publication.handleResponse(response)));
    }
}
