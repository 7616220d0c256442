package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.stream.Stream;
import org.geraniumford.core.store.StoreRequest;
import org.geraniumford.core.store.StoreResponse;
import org.geraniumford.core.store.TableOperation;
import org.geraniumford.core.store.TableRow;
import org.geraniumford.core.store.TransactionResult;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;

/**
 * The state machine that puts an operator's folder in force as the new configuration. It writes all objects first. One
 * transaction then replaces the head row, which identifies the configuration in force, by compare-and-set, and inserts
 * the history row of the new version. It sends one request to the store at a time. Immutable.
 */
public final class Publication {
    /** The maximum number of attempts for each store request before the publication fails. */
    public static final int MAX_ATTEMPTS = 5;

    /** Doubled before every retry, including the first, which therefore waits for 200 ms. */
    private static final long BASE_BACKOFF_MICROS = 100_000;

    private final Change change;
    private final Progress progress;
    private final StoreRequest request;
    private final int failedAttempts;
    private final boolean commitMayHaveRun;

    private Publication(
            Change change, Progress progress, StoreRequest request, int failedAttempts, boolean commitMayHaveRun) {
        this.change = change;
        this.progress = progress;
        this.request = request;
        this.failedAttempts = failedAttempts;
        this.commitMayHaveRun = commitMayHaveRun;
    }

    /**
     * The change to publish.
     *
     * @param files all files of the folder
     * @param baseVersion the version from which the folder was edited, 0 if none was in force; empty to accept any
     *     version in force
     * @param commitId the identifier of the change, unique across all operators
     */
    public record Change(List<ConfigurationFile> files, Optional<Long> baseVersion, String commitId) {
        /** Checks the components and copies the list. */
        public Change {
            files = List.copyOf(files);
            requireNonNull(baseVersion, "baseVersion is null");
            requireNonNull(commitId, "commitId is null");
        }
    }

    /** The outcome of a publication, for the operator. */
    public sealed interface Outcome {
        /**
         * The folder was put in force.
         *
         * @param version the folder's version
         */
        record Applied(long version) implements Outcome {}

        /**
         * The folder was already in force.
         *
         * @param version the folder's version
         */
        record Unchanged(long version) implements Outcome {}

        /**
         * The folder is not a valid configuration; nothing was applied.
         *
         * @param problems the problems found, at least one
         */
        record Rejected(List<ConfigurationProblem> problems) implements Outcome {}

        /**
         * The version in force is not the change's base version, or another operator published a version first; nothing
         * was applied.
         *
         * @param version the version in force or the other operator's version; 0 if no version is in force
         * @param files the names of the files in which that version differs from the folder
         */
        record Conflicted(long version, SortedSet<String> files) implements Outcome {}

        /**
         * The store did not respond, or the head row is not valid.
         *
         * @param refusal the reason; the verdict {@code NOT_RUN} means that nothing was applied, and
         *     {@code MAY_HAVE_RUN} that the commit id in the history shows the outcome once the store responds again
         */
        record Failed(Refusal refusal) implements Outcome {}
    }

    /** The action to perform next. */
    public sealed interface Action {
        /**
         * Sends a request to the store and passes the response to {@link Publication#handleResponse}.
         *
         * @param request the request
         */
        record SendRequest(StoreRequest request) implements Action {}

        /**
         * Retries a store request after a delay.
         *
         * @param delayMicros the delay, in microseconds
         * @param request the request
         */
        record RetryRequest(long delayMicros, StoreRequest request) implements Action {}

        /**
         * Ends the publication.
         *
         * @param outcome the outcome for the operator
         */
        record Finish(Outcome outcome) implements Action {}
    }

    /**
     * A state and the action to perform in it.
     *
     * @param next the state
     * @param action the action
     */
    public record Step(Publication next, Action action) {}

    private enum Stage {
        READING_HEAD,
        READING_MANIFEST,
        READING_TEXT,
        WRITING_OBJECTS,
        COMMITTING,
        READING_HISTORY,
        READING_OTHER_MANIFEST
    }

    /**
     * What the stages so far have read and prepared.
     *
     * @param stage the stage of the last request
     * @param headRow the row that contains {@code head}; empty until it is read, and if there is none
     * @param head the head in force; in stage {@code READING_OTHER_MANIFEST}, the head that another operator published
     * @param manifest the manifest of the configuration in force when the head row was read; without files until it is
     *     read, and if there is none
     * @param newHead the head to publish; empty before stage {@code WRITING_OBJECTS}
     * @param remainingWrites the objects still to write
     */
    private record Progress(
            Stage stage,
            Optional<TableRow> headRow,
            Optional<ConfigurationHead> head,
            FolderManifest manifest,
            Optional<ConfigurationHead> newHead,
            List<StoreRequest> remainingWrites) {}

    // -- construction

    /**
     * Starts a publication.
     *
     * @param change the change to publish
     * @return the initial state and its action
     */
    public static Step start(Change change) {
        requireNonNull(change, "change is null");
        Progress progress = new Progress(
                Stage.READING_HEAD,
                Optional.empty(),
                Optional.empty(),
                FolderManifest.empty(),
                Optional.empty(),
                List.of());
        return sendRequest(change, progress, new StoreRequest.ReadRow(ConfigurationHead.TABLE, ConfigurationHead.ROW));
    }

    // -- queries

    /**
     * Returns the state and the action that follow from a response of the store.
     *
     * @param response the response to the last request
     * @return the next state and its action
     */
    public Step handleResponse(StoreResponse response) {
        if (response instanceof StoreResponse.Failed failed) {
            return handleFailure(failed.refusal());
        }
        return switch (progress.stage()) {
            case READING_HEAD -> handleHeadRow(((StoreResponse.Row) response).row());
            case READING_MANIFEST -> handleManifest(((StoreResponse.ObjectContent) response).content());
            case READING_TEXT -> handleText(((StoreResponse.ObjectContent) response).content());
            case WRITING_OBJECTS -> writeNextObject(progress.remainingWrites());
            case COMMITTING -> handleTransactionResult(((StoreResponse.Transaction) response).result());
            case READING_HISTORY -> handleHistoryRow(((StoreResponse.Row) response).row());
            case READING_OTHER_MANIFEST -> handleOtherManifest(((StoreResponse.ObjectContent) response).content());
        };
    }

    // -- stages

    private Step handleHeadRow(Optional<TableRow> row) {
        Optional<ConfigurationHead> head = row.map(TableRow::value).flatMap(ConfigurationHead::decode);
        if (row.isPresent() && head.isEmpty()) {
            return finish(new Outcome.Failed(Refusal.notRun(Reason.INTERNAL, "the head row cannot be read")));
        }
        Progress next =
                new Progress(Stage.READING_MANIFEST, row, head, progress.manifest(), Optional.empty(), List.of());
        return head.map(current -> sendRequest(change, next, new StoreRequest.ReadObject(current.manifestDigest())))
                .orElseGet(() -> hasOtherBaseVersion(0)
                        ? finish(new Outcome.Conflicted(0, difference(FolderManifest.empty())))
                        : prepare(next, MergedFolder.ofAll(List.of())));
    }

    /** Returns whether the folder was edited from a version other than the given one. */
    private boolean hasOtherBaseVersion(long version) {
        return change.baseVersion().filter(base -> base != version).isPresent();
    }

    private Step handleManifest(Optional<String> content) {
        FolderManifest manifest = content.flatMap(FolderManifest::decode).orElseGet(FolderManifest::empty);
        ConfigurationHead head = progress.head().orElseThrow();
        if (hasOtherBaseVersion(head.version())) {
            return finish(new Outcome.Conflicted(head.version(), difference(manifest)));
        }
        Progress next = new Progress(
                Stage.READING_TEXT, progress.headRow(), progress.head(), manifest, Optional.empty(), List.of());
        return sendRequest(change, next, new StoreRequest.ReadObject(head.digest()));
    }

    private Step handleText(Optional<String> content) {
        MergedFolder before = MergedFolder.ofAll(content.stream()
                .map(text -> ConfigurationFile.of("merged", text))
                .toList());
        return prepare(progress, before);
    }

    /** Ends the publication if the folder is invalid or already in force; otherwise starts to write its objects. */
    private Step prepare(Progress current, MergedFolder before) {
        long version = current.head().map(ConfigurationHead::version).orElse(0L) + 1;
        MergedFolder folder = MergedFolder.ofAll(change.files());
        if (ConfigurationParser.parse(version, folder) instanceof ParsedConfiguration.Rejected rejected) {
            return finish(new Outcome.Rejected(rejected.problems()));
        }
        FolderManifest manifest = FolderManifest.ofAll(change.files());
        if (current.head().isPresent() && manifest.equals(current.manifest())) {
            return finish(new Outcome.Unchanged(version - 1));
        }
        String delta = IniDelta.between(before.sections(), folder.sections()).encode();
        ConfigurationHead newHead = new ConfigurationHead(
                version,
                change.commitId(),
                Sha256.hex(folder.text()),
                Sha256.hex(manifest.encode()),
                Sha256.hex(delta));
        Progress prepared = new Progress(
                Stage.WRITING_OBJECTS,
                current.headRow(),
                current.head(),
                current.manifest(),
                Optional.of(newHead),
                List.of());
        return new Publication(change, prepared, request, 0, false)
                .writeNextObject(objectWrites(folder.text(), manifest.encode(), delta));
    }

    /** Returns the writes of the generated texts and of the files that the configuration in force lacks. */
    private List<StoreRequest> objectWrites(String... generatedTexts) {
        Stream<String> fileTexts = change.files().stream()
                .filter(file -> !progress.manifest().digests().containsValue(file.digest()))
                .flatMap(file -> file.text().stream());
        return Stream.concat(fileTexts, Stream.of(generatedTexts))
                .<StoreRequest>map(text -> new StoreRequest.WriteObject(Sha256.hex(text), text))
                .toList();
    }

    private Step writeNextObject(List<StoreRequest> remaining) {
        if (remaining.isEmpty()) {
            return sendRequest(change, progressAt(Stage.COMMITTING, remaining), headTransaction());
        }
        return sendRequest(
                change, progressAt(Stage.WRITING_OBJECTS, remaining.subList(1, remaining.size())), remaining.get(0));
    }

    private StoreRequest headTransaction() {
        ConfigurationHead newHead = progress.newHead().orElseThrow();
        long expectedRowVersion = progress.headRow().map(TableRow::version).orElse(0L);
        return new StoreRequest.Transact(List.of(
                TableOperation.replace(
                        ConfigurationHead.TABLE, ConfigurationHead.ROW, expectedRowVersion, newHead.encode()),
                TableOperation.insert(
                        ConfigurationHead.TABLE,
                        ConfigurationHead.historyRowName(newHead.version()),
                        newHead.encode())));
    }

    private Step handleTransactionResult(TransactionResult result) {
        long version = progress.newHead().orElseThrow().version();
        if (result instanceof TransactionResult.Committed) {
            return finish(new Outcome.Applied(version));
        }
        // The conflict may be with an earlier attempt of this commit whose response was lost.
        StoreRequest readHistory =
                new StoreRequest.ReadRow(ConfigurationHead.TABLE, ConfigurationHead.historyRowName(version));
        return new Step(
                new Publication(change, progressAt(Stage.READING_HISTORY, List.of()), readHistory, 0, commitMayHaveRun),
                new Action.SendRequest(readHistory));
    }

    private Step handleHistoryRow(Optional<TableRow> row) {
        Optional<ConfigurationHead> committedHead = row.map(TableRow::value).flatMap(ConfigurationHead::decode);
        long version = progress.newHead().orElseThrow().version();
        if (committedHead
                .filter(head -> head.commitId().equals(change.commitId()))
                .isPresent()) {
            return finish(new Outcome.Applied(version));
        }
        // Without a readable history row, the conflict is reported with this publication's own version and with the
        // differences from the configuration that was in force when the publication started.
        return committedHead
                .map(head -> sendRequest(
                        change,
                        new Progress(
                                Stage.READING_OTHER_MANIFEST,
                                row,
                                committedHead,
                                progress.manifest(),
                                progress.newHead(),
                                List.of()),
                        new StoreRequest.ReadObject(head.manifestDigest())))
                .orElseGet(() -> finish(new Outcome.Conflicted(version, difference(progress.manifest()))));
    }

    private Step handleOtherManifest(Optional<String> content) {
        FolderManifest otherManifest = content.flatMap(FolderManifest::decode).orElseGet(FolderManifest::empty);
        return finish(new Outcome.Conflicted(progress.head().orElseThrow().version(), difference(otherManifest)));
    }

    // -- failures

    private Step handleFailure(Refusal refusal) {
        boolean uncertainCommit =
                commitMayHaveRun || (progress.stage() == Stage.COMMITTING && refusal.verdict() != Verdict.NOT_RUN);
        int attemptsMade = failedAttempts + 1;
        if (attemptsMade < MAX_ATTEMPTS) {
            return new Step(
                    new Publication(change, progress, request, attemptsMade, uncertainCommit),
                    new Action.RetryRequest(BASE_BACKOFF_MICROS << attemptsMade, request));
        }
        // The conflict is certain in stage READING_OTHER_MANIFEST; without the other manifest, every file of the folder
        // is reported.
        return progress.stage() == Stage.READING_OTHER_MANIFEST
                ? handleOtherManifest(Optional.empty())
                : finish(new Outcome.Failed(
                        refusal.withVerdict(uncertainCommit ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN)));
    }

    // -- helpers

    private Progress progressAt(Stage stage, List<StoreRequest> remainingWrites) {
        return new Progress(
                stage, progress.headRow(), progress.head(), progress.manifest(), progress.newHead(), remainingWrites);
    }

    private SortedSet<String> difference(FolderManifest otherManifest) {
        return FolderManifest.ofAll(change.files()).difference(otherManifest);
    }

    private Step finish(Outcome outcome) {
        return new Step(this, new Action.Finish(outcome));
    }

    private static Step sendRequest(Change change, Progress progress, StoreRequest request) {
        return new Step(new Publication(change, progress, request, 0, false), new Action.SendRequest(request));
    }
}
