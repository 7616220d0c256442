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
 * Decides how an operator's folder becomes the configuration in force: blobs first, then one compare-and-set of the
 * head row together with the row of the new version. Asks the store for one thing at a time. Immutable.
 */
public final class Publication {
    /** How often one request to the store is made before the publication fails. */
    public static final int MAX_ATTEMPTS = 5;

    private static final long BASE_BACKOFF_MICROS = 100_000;

    private final Change change;
    private final Progress progress;
    private final StoreRequest request;
    private final int attempts;
    private final boolean mayHaveRun;

    private Publication(Change change, Progress progress, StoreRequest request, int tries, boolean mayHaveRun) {
        this.change = change;
        this.progress = progress;
        this.request = request;
        this.attempts = tries;
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * What the operator wants.
     *
     * @param files the whole folder
     * @param baseVersion the version that the folder was edited from; empty for whatever is in force
     * @param commitId names the change, unique across all operators
     */
    public record Change(List<ConfigurationFile> files, Optional<Long> baseVersion, String commitId) {
        /** Checks the components and copies the list. */
        public Change {
            files = List.copyOf(files);
            requireNonNull(baseVersion, "baseVersion is null");
            requireNonNull(commitId, "commitId is null");
        }
    }

    /** What the operator is told. */
    public sealed interface Outcome {
        /**
         * The folder is in force.
         *
         * @param version its version
         */
        record Applied(long version) implements Outcome {}

        /**
         * The folder was in force already.
         *
         * @param version its version
         */
        record Unchanged(long version) implements Outcome {}

        /**
         * The folder is broken; nothing was applied.
         *
         * @param problems what is wrong
         */
        record Rejected(List<ConfigurationProblem> problems) implements Outcome {}

        /**
         * Another operator was first; nothing was applied.
         *
         * @param version the version now in force
         * @param files the names of the files in which that version differs from this folder
         */
        record Conflicted(long version, SortedSet<String> files) implements Outcome {}

        /**
         * The store did not answer.
         *
         * @param refusal why; {@code NOT_RUN}: nothing was applied; {@code MAY_HAVE_RUN}: the commit id in the history
         *     tells once the store answers
         */
        record Failed(Refusal refusal) implements Outcome {}
    }

    /** What to do next. */
    public sealed interface Action {
        /**
         * Ask the store, then call {@link Publication#handleResponse}.
         *
         * @param request the request
         */
        record SendRequest(StoreRequest request) implements Action {}

        /**
         * Wait, then ask the store.
         *
         * @param delayMicros how long, in microseconds
         * @param request the request
         */
        record RetryRequest(long delayMicros, StoreRequest request) implements Action {}

        /**
         * Nothing; the publication has ended.
         *
         * @param outcome what the operator is told
         */
        record Finish(Outcome outcome) implements Action {}
    }

    /**
     * A state and what to do in it.
     *
     * @param next the state
     * @param action what to do
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
     * @param change what the operator wants
     * @return the first state and its request
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
     * Decides what follows from an answer of the store.
     *
     * @param reply the answer to the last request
     * @return the next state and what to do
     */
    public Step handleResponse(StoreResponse reply) {
        if (reply instanceof StoreResponse.Failed failed) {
            return handleFailure(failed.refusal());
        }
        return switch (progress.stage()) {
            case READING_HEAD -> handleHeadRow(((StoreResponse.Row) reply).row());
            case READING_MANIFEST -> handleManifest(((StoreResponse.ObjectContent) reply).content());
            case READING_TEXT -> handleText(((StoreResponse.ObjectContent) reply).content());
            case WRITING_OBJECTS -> writeNextObject(progress.remainingWrites());
            case COMMITTING -> handleTransactionResult(((StoreResponse.Transaction) reply).result());
            case READING_HISTORY -> handleHistoryRow(((StoreResponse.Row) reply).row());
            case READING_OTHER_MANIFEST -> handleOtherManifest(((StoreResponse.ObjectContent) reply).content());
        };
    }

    // -- stages

    private Step handleHeadRow(Optional<TableRow> row) {
        Optional<ConfigurationHead> head = row.map(TableRow::value).flatMap(ConfigurationHead::decode);
        if (row.isPresent() && head.isEmpty()) {
            return finish(new Outcome.Failed(Refusal.notRun(Reason.INTERNAL, "the head row cannot be read")));
        }
        Progress read =
                new Progress(Stage.READING_MANIFEST, row, head, progress.manifest(), Optional.empty(), List.of());
        return head.map(found -> sendRequest(change, read, new StoreRequest.ReadObject(found.manifestDigest())))
                .orElseGet(() -> hasOtherBaseVersion(0)
                        ? finish(new Outcome.Conflicted(0, difference(FolderManifest.empty())))
                        : prepare(read, MergedFolder.ofAll(List.of())));
    }

    private boolean hasOtherBaseVersion(long version) {
        return change.baseVersion().filter(base -> base != version).isPresent();
    }

    private Step handleManifest(Optional<String> content) {
        FolderManifest manifest = content.flatMap(FolderManifest::decode).orElseGet(FolderManifest::empty);
        ConfigurationHead head = progress.head().orElseThrow();
        if (hasOtherBaseVersion(head.version())) {
            return finish(new Outcome.Conflicted(head.version(), difference(manifest)));
        }
        Progress read = new Progress(
                Stage.READING_TEXT, progress.headRow(), progress.head(), manifest, Optional.empty(), List.of());
        return sendRequest(change, read, new StoreRequest.ReadObject(head.digest()));
    }

    private Step handleText(Optional<String> content) {
        MergedFolder before = MergedFolder.ofAll(content.stream()
                .map(text -> ConfigurationFile.of("merged", text))
                .toList());
        return prepare(progress, before);
    }

    private Step prepare(Progress read, MergedFolder before) {
        long version = read.head().map(ConfigurationHead::version).orElse(0L) + 1;
        MergedFolder folder = MergedFolder.ofAll(change.files());
        if (ConfigurationParser.parse(version, folder) instanceof ParsedConfiguration.Rejected rejected) {
            return finish(new Outcome.Rejected(rejected.problems()));
        }
        FolderManifest manifest = FolderManifest.ofAll(change.files());
        if (read.head().isPresent() && manifest.equals(read.manifest())) {
            return finish(new Outcome.Unchanged(version - 1));
        }
        String delta = IniDelta.between(before.sections(), folder.sections()).encode();
        ConfigurationHead target = new ConfigurationHead(
                version,
                change.commitId(),
                Sha256.hex(folder.text()),
                Sha256.hex(manifest.encode()),
                Sha256.hex(delta));
        Progress prepared = new Progress(
                Stage.WRITING_OBJECTS, read.headRow(), read.head(), read.manifest(), Optional.of(target), List.of());
        return new Publication(change, prepared, request, 0, false)
                .writeNextObject(objectWrites(folder.text(), manifest.encode(), delta));
    }

    private List<StoreRequest> objectWrites(String... ownTexts) {
        Stream<String> fileTexts = change.files().stream()
                .filter(file -> !progress.manifest().digests().containsValue(file.digest()))
                .flatMap(file -> file.text().stream());
        return Stream.concat(fileTexts, Stream.of(ownTexts))
                .<StoreRequest>map(text -> new StoreRequest.WriteObject(Sha256.hex(text), text))
                .toList();
    }

    private Step writeNextObject(List<StoreRequest> left) {
        if (left.isEmpty()) {
            return sendRequest(change, progressAt(Stage.COMMITTING, left), headTransaction());
        }
        return sendRequest(change, progressAt(Stage.WRITING_OBJECTS, left.subList(1, left.size())), left.get(0));
    }

    private StoreRequest headTransaction() {
        ConfigurationHead target = progress.newHead().orElseThrow();
        long expect = progress.headRow().map(TableRow::version).orElse(0L);
        return new StoreRequest.Transact(List.of(
                TableOperation.replace(ConfigurationHead.TABLE, ConfigurationHead.ROW, expect, target.encode()),
                TableOperation.insert(
                        ConfigurationHead.TABLE, ConfigurationHead.historyRowName(target.version()), target.encode())));
    }

    private Step handleTransactionResult(TransactionResult result) {
        long version = progress.newHead().orElseThrow().version();
        if (result instanceof TransactionResult.Committed) {
            return finish(new Outcome.Applied(version));
        }
        StoreRequest read =
                new StoreRequest.ReadRow(ConfigurationHead.TABLE, ConfigurationHead.historyRowName(version));
        return new Step(
                new Publication(change, progressAt(Stage.READING_HISTORY, List.of()), read, 0, mayHaveRun),
                new Action.SendRequest(read));
    }

    private Step handleHistoryRow(Optional<TableRow> row) {
        Optional<ConfigurationHead> winner = row.map(TableRow::value).flatMap(ConfigurationHead::decode);
        long version = progress.newHead().orElseThrow().version();
        if (winner.filter(head -> head.commitId().equals(change.commitId())).isPresent()) {
            return finish(new Outcome.Applied(version));
        }
        return winner.map(head -> sendRequest(
                        change,
                        new Progress(
                                Stage.READING_OTHER_MANIFEST,
                                row,
                                winner,
                                progress.manifest(),
                                progress.newHead(),
                                List.of()),
                        new StoreRequest.ReadObject(head.manifestDigest())))
                .orElseGet(() -> finish(new Outcome.Conflicted(version, difference(progress.manifest()))));
    }

    private Step handleOtherManifest(Optional<String> content) {
        FolderManifest theirs = content.flatMap(FolderManifest::decode).orElseGet(FolderManifest::empty);
        return finish(new Outcome.Conflicted(progress.head().orElseThrow().version(), difference(theirs)));
    }

    // -- failures

    private Step handleFailure(Refusal refusal) {
        boolean uncertain =
                mayHaveRun || (progress.stage() == Stage.COMMITTING && refusal.verdict() != Verdict.NOT_RUN);
        int made = attempts + 1;
        if (made < MAX_ATTEMPTS) {
            return new Step(
                    new Publication(change, progress, request, made, uncertain),
                    new Action.RetryRequest(BASE_BACKOFF_MICROS << made, request));
        }
        return progress.stage() == Stage.READING_OTHER_MANIFEST
                ? handleOtherManifest(Optional.empty())
                : finish(new Outcome.Failed(refusal.withVerdict(uncertain ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN)));
    }

    // -- parts

    private Progress progressAt(Stage stage, List<StoreRequest> blobs) {
        return new Progress(stage, progress.headRow(), progress.head(), progress.manifest(), progress.newHead(), blobs);
    }

    private SortedSet<String> difference(FolderManifest theirs) {
        return FolderManifest.ofAll(change.files()).difference(theirs);
    }

    private Step finish(Outcome outcome) {
        return new Step(this, new Action.Finish(outcome));
    }

    private static Step sendRequest(Change change, Progress progress, StoreRequest request) {
        return new Step(new Publication(change, progress, request, 0, false), new Action.SendRequest(request));
    }
}
