package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.stream.Stream;
import org.geraniumford.core.store.StoreReply;
import org.geraniumford.core.store.StoreRequest;
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
    public static final int MAX_TRIES = 5;

    private static final long FIRST_WAIT_MICROS = 100_000;

    private final Change change;
    private final Progress progress;
    private final StoreRequest request;
    private final int tries;
    private final boolean mayHaveRun;

    private Publication(Change change, Progress progress, StoreRequest request, int tries, boolean mayHaveRun) {
        this.change = change;
        this.progress = progress;
        this.request = request;
        this.tries = tries;
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
        record LostRace(long version, SortedSet<String> files) implements Outcome {}

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
         * Ask the store, then call {@link Publication#answered}.
         *
         * @param request the request
         */
        record Ask(StoreRequest request) implements Action {}

        /**
         * Wait, then ask the store.
         *
         * @param micros how long, in microseconds
         * @param request the request
         */
        record Wait(long micros, StoreRequest request) implements Action {}

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
        HEAD,
        MANIFEST,
        TEXT,
        BLOBS,
        SWAP,
        RESOLVE,
        WINNER
    }

    private record Progress(
            Stage stage,
            Optional<TableRow> headRow,
            Optional<ConfigurationHead> head,
            FolderManifest manifest,
            Optional<ConfigurationHead> target,
            List<StoreRequest> blobs) {}

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
                Stage.HEAD, Optional.empty(), Optional.empty(), FolderManifest.empty(), Optional.empty(), List.of());
        return ask(change, progress, new StoreRequest.ReadRow(ConfigurationHead.TABLE, ConfigurationHead.ROW));
    }

    // -- queries

    /**
     * Decides what follows from an answer of the store.
     *
     * @param reply the answer to the last request
     * @return the next state and what to do
     */
    public Step answered(StoreReply reply) {
        if (reply instanceof StoreReply.Failed failed) {
            return failed(failed.refusal());
        }
        return switch (progress.stage()) {
            case HEAD -> headRead(((StoreReply.Row) reply).row());
            case MANIFEST -> manifestRead(((StoreReply.Blob) reply).content());
            case TEXT -> textRead(((StoreReply.Blob) reply).content());
            case BLOBS -> nextBlob(progress.blobs());
            case SWAP -> swapped(((StoreReply.Transaction) reply).result());
            case RESOLVE -> resolved(((StoreReply.Row) reply).row());
            case WINNER -> winnerRead(((StoreReply.Blob) reply).content());
        };
    }

    // -- stages

    private Step headRead(Optional<TableRow> row) {
        Optional<ConfigurationHead> head = row.map(TableRow::value).flatMap(ConfigurationHead::decode);
        if (row.isPresent() && head.isEmpty()) {
            return finish(new Outcome.Failed(Refusal.notRun(Reason.INTERNAL, "the head row cannot be read")));
        }
        Progress read = new Progress(Stage.MANIFEST, row, head, progress.manifest(), Optional.empty(), List.of());
        return head.map(found -> ask(change, read, new StoreRequest.ReadObject(found.manifestDigest())))
                .orElseGet(() -> otherBase(0)
                        ? finish(new Outcome.LostRace(0, difference(FolderManifest.empty())))
                        : prepare(read, FolderMerge.ofAll(List.of())));
    }

    private boolean otherBase(long version) {
        return change.baseVersion().filter(base -> base != version).isPresent();
    }

    private Step manifestRead(Optional<String> content) {
        FolderManifest manifest = content.flatMap(FolderManifest::decode).orElseGet(FolderManifest::empty);
        ConfigurationHead head = progress.head().orElseThrow();
        if (otherBase(head.version())) {
            return finish(new Outcome.LostRace(head.version(), difference(manifest)));
        }
        Progress read =
                new Progress(Stage.TEXT, progress.headRow(), progress.head(), manifest, Optional.empty(), List.of());
        return ask(change, read, new StoreRequest.ReadObject(head.digest()));
    }

    private Step textRead(Optional<String> content) {
        FolderMerge before = FolderMerge.ofAll(content.stream()
                .map(text -> ConfigurationFile.of("merged", text))
                .toList());
        return prepare(progress, before);
    }

    private Step prepare(Progress read, FolderMerge before) {
        long version = read.head().map(ConfigurationHead::version).orElse(0L) + 1;
        FolderMerge folder = FolderMerge.ofAll(change.files());
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
        Progress prepared =
                new Progress(Stage.BLOBS, read.headRow(), read.head(), read.manifest(), Optional.of(target), List.of());
        return new Publication(change, prepared, request, 0, false)
                .nextBlob(blobs(folder.text(), manifest.encode(), delta));
    }

    private List<StoreRequest> blobs(String... ownTexts) {
        Stream<String> fileTexts = change.files().stream()
                .filter(file -> !progress.manifest().digests().containsValue(file.digest()))
                .flatMap(file -> file.text().stream());
        return Stream.concat(fileTexts, Stream.of(ownTexts))
                .<StoreRequest>map(text -> new StoreRequest.WriteObject(Sha256.hex(text), text))
                .toList();
    }

    private Step nextBlob(List<StoreRequest> left) {
        if (left.isEmpty()) {
            return ask(change, at(Stage.SWAP, left), swap());
        }
        return ask(change, at(Stage.BLOBS, left.subList(1, left.size())), left.get(0));
    }

    private StoreRequest swap() {
        ConfigurationHead target = progress.target().orElseThrow();
        long expect = progress.headRow().map(TableRow::version).orElse(0L);
        return new StoreRequest.Transact(List.of(
                TableOperation.replace(ConfigurationHead.TABLE, ConfigurationHead.ROW, expect, target.encode()),
                TableOperation.insert(
                        ConfigurationHead.TABLE, ConfigurationHead.historyRow(target.version()), target.encode())));
    }

    private Step swapped(TransactionResult result) {
        long version = progress.target().orElseThrow().version();
        if (result instanceof TransactionResult.Committed) {
            return finish(new Outcome.Applied(version));
        }
        StoreRequest read = new StoreRequest.ReadRow(ConfigurationHead.TABLE, ConfigurationHead.historyRow(version));
        return new Step(
                new Publication(change, at(Stage.RESOLVE, List.of()), read, 0, mayHaveRun), new Action.Ask(read));
    }

    private Step resolved(Optional<TableRow> row) {
        Optional<ConfigurationHead> winner = row.map(TableRow::value).flatMap(ConfigurationHead::decode);
        long version = progress.target().orElseThrow().version();
        if (winner.filter(head -> head.commitId().equals(change.commitId())).isPresent()) {
            return finish(new Outcome.Applied(version));
        }
        return winner.map(head -> ask(
                        change,
                        new Progress(Stage.WINNER, row, winner, progress.manifest(), progress.target(), List.of()),
                        new StoreRequest.ReadObject(head.manifestDigest())))
                .orElseGet(() -> finish(new Outcome.LostRace(version, difference(progress.manifest()))));
    }

    private Step winnerRead(Optional<String> content) {
        FolderManifest theirs = content.flatMap(FolderManifest::decode).orElseGet(FolderManifest::empty);
        return finish(new Outcome.LostRace(progress.head().orElseThrow().version(), difference(theirs)));
    }

    // -- failures

    private Step failed(Refusal refusal) {
        boolean uncertain = mayHaveRun || (progress.stage() == Stage.SWAP && refusal.verdict() != Verdict.NOT_RUN);
        int made = tries + 1;
        if (made < MAX_TRIES) {
            return new Step(
                    new Publication(change, progress, request, made, uncertain),
                    new Action.Wait(FIRST_WAIT_MICROS << made, request));
        }
        return progress.stage() == Stage.WINNER
                ? winnerRead(Optional.empty())
                : finish(new Outcome.Failed(refusal.withVerdict(uncertain ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN)));
    }

    // -- parts

    private Progress at(Stage stage, List<StoreRequest> blobs) {
        return new Progress(stage, progress.headRow(), progress.head(), progress.manifest(), progress.target(), blobs);
    }

    private SortedSet<String> difference(FolderManifest theirs) {
        return FolderManifest.ofAll(change.files()).difference(theirs);
    }

    private Step finish(Outcome outcome) {
        return new Step(this, new Action.Finish(outcome));
    }

    private static Step ask(Change change, Progress progress, StoreRequest request) {
        return new Step(new Publication(change, progress, request, 0, false), new Action.Ask(request));
    }
}
