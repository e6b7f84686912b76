package io.kitepath.core.state;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.ListResult;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the records of all jobs that are open or still have parts, once, for a new leader. Runs on
 * the event loop.
 */
public final class StateLoader {
    private static final Logger LOG = LoggerFactory.getLogger(StateLoader.class);

    /** Number of attempts to read a page before the whole load fails. */
    private static final int MAX_PAGE_ATTEMPTS = 20;

    /** Number of records of ended jobs that are read at the same time. */
    private static final int MAX_IN_FLIGHT = 8;

    /** Delay before a record is read again, multiplied by the attempt up to the maximum. */
    private static final double RETRY_STEP_SECONDS = 0.1;

    private static final double MAX_RETRY_SECONDS = 1;

    /**
     * All records that were read.
     *
     * @param revision a revision from before the first record was read; changes have to be watched
     *     from there
     * @param openJobs jobs that are neither done nor cancelled
     * @param parts tasks that are done and attempts on machines, of open and of ended jobs
     * @param endedJobs by id: ended jobs that still have parts, so that their tasks may still be on
     *     machines
     * @param cellRecords records about other cells
     * @param cloudIntents requests to the cloud, read at their own revision
     * @param layout the record layout, empty if it has not been written yet
     */
    public record LoadedState(
            long revision,
            List<Entry> openJobs,
            List<Entry> parts,
            Map<String, Entry> endedJobs,
            CellRecords cellRecords,
            ListResult cloudIntents,
            Optional<Entry> layout) {}

    /**
     * Records about other cells, all empty if there are no other cells.
     *
     * @param lentTasks tasks of open jobs that are lent to other cells
     * @param borrowedTasks tasks that other cells lent to this one
     * @param cancellationRequests open jobs whose users requested their cancellation
     * @param voidedNumbers numbers of other cells' loans that can no longer be accepted
     * @param quotaShares shares of each team's quota that this cell received and gave away
     */
    public record CellRecords(
            List<Entry> lentTasks,
            List<Entry> borrowedTasks,
            List<Entry> cancellationRequests,
            List<Entry> voidedNumbers,
            List<Entry> quotaShares) {}

    /** Receives the records about other cells. */
    public interface LoanRecords {
        /** For a deployment without other cells: no such records are read or watched. */
        LoanRecords NONE =
                new LoanRecords() {
                    @Override
                    public void adoptLoaded(LoadedState loadedState) {}

                    @Override
                    public void cancellationRequestChanged(Entry entry) {}
                };

        /** Adopts the loaded records, after the open jobs and before their parts. */
        void adoptLoaded(LoadedState loadedState);

        /**
         * Called when a user has requested the cancellation of a job that may have lent tasks; an
         * entry without a value withdraws the request.
         */
        void cancellationRequestChanged(Entry entry);
    }

    private final Store store;
    private final Timers timers;
    private final boolean withCellRecords;
    private final Epoch.Token epoch;
    private final Consumer<Set<String>> onRunningJobIdsKnown;

    private Consumer<Optional<LoadedState>> onResult;

    private ListResult openJobs;
    private ListResult parts;
    private List<Entry> lentTasks = List.of();
    private List<Entry> borrowedTasks = List.of();
    private List<Entry> cancellationRequests = List.of();
    private List<Entry> voidedNumbers = List.of();
    private List<Entry> quotaShares = List.of();
    private Optional<ListResult> cloudIntents = Optional.empty();
    private Optional<Entry> layout = Optional.empty();
    private final Map<String, Entry> endedJobs = new HashMap<>();

    /** Ids of jobs that are not open and whose ended record has not been requested yet. */
    private final Deque<String> unreadEndedJobIds = new ArrayDeque<>();

    private int pendingEndedJobReads;
    private boolean jobsRead;

    /**
     * Prepares one load.
     *
     * @param withCellRecords whether there are other cells
     * @param epoch the load is abandoned once this epoch ends
     * @param onRunningJobIdsKnown receives the ids of all jobs that may have running tasks, before
     *     any other records of these jobs are read
     */
    StateLoader(
            Store store,
            Timers timers,
            boolean withCellRecords,
            Epoch.Token epoch,
            Consumer<Set<String>> onRunningJobIdsKnown) {
        this.store = store;
        this.timers = timers;
        this.withCellRecords = withCellRecords;
        this.epoch = epoch;
        this.onRunningJobIdsKnown = onRunningJobIdsKnown;
    }

    /**
     * Reads all records. The result is empty if a read fails; no result is passed on once the epoch
     * has ended.
     */
    void load(Consumer<Optional<LoadedState>> onLoaded) {
        onResult =
                loadedState -> {
                    onResult = ignored -> {}; // Ignores later failures.
                    onLoaded.accept(loadedState);
                };
        // Read in parallel to the jobs so that a failover does not take longer.
        readAll(
                StoreKeys.CLOUD_INTENTS,
                listing -> {
                    cloudIntents = Optional.of(listing);
                    completeIfAllRead();
                });
        readLayout();
    }

    private void completeIfAllRead() {
        if (jobsRead && cloudIntents.isPresent()) {
            onResult.accept(
                    Optional.of(
                            new LoadedState(
                                    openJobs.revision(),
                                    openJobs.entries(),
                                    parts.entries(),
                                    endedJobs,
                                    new CellRecords(
                                            lentTasks,
                                            borrowedTasks,
                                            cancellationRequests,
                                            voidedNumbers,
                                            quotaShares),
                                    cloudIntents.get(),
                                    layout)));
        }
    }

    private void readAll(String prefix, Consumer<ListResult> onRead) {
        double startedAtSeconds = timers.nowSeconds();
        PagedScan.read(
                store,
                timers,
                prefix,
                MAX_PAGE_ATTEMPTS,
                listing -> {
                    if (epoch.isStale()) {
                        return;
                    }
                    logRead(prefix, listing, timers.nowSeconds() - startedAtSeconds);
                    if (listing.outcome() == Outcome.OK) {
                        onRead.accept(listing);
                    } else {
                        onResult.accept(Optional.empty());
                    }
                });
    }

    private static void logRead(String prefix, ListResult listing, double seconds) {
        if (listing.outcome() == Outcome.OK) {
            LOG.debug(
                    "records read: prefix={} records={} revision={} seconds={}",
                    prefix,
                    listing.entries().size(),
                    listing.revision(),
                    formatSeconds(seconds));
        } else {
            LOG.warn(
                    "records not read, the load starts again: prefix={} outcome={} seconds={}",
                    prefix,
                    listing.outcome(),
                    formatSeconds(seconds));
        }
    }

    /** Returns a duration as it stands in the log lines of a load. */
    static String formatSeconds(double seconds) {
        return String.format(Locale.ROOT, "%.2f", seconds);
    }

    // ---- sequential reads -----------------------------------------------------------------------

    private void readLayout() {
        store.get(
                StoreKeys.LAYOUT,
                (outcome, entry) -> {
                    if (epoch.isStale()) {
                        return;
                    }
                    if (outcome == Outcome.OK || outcome == Outcome.REJECTED) {
                        layout = Optional.ofNullable(entry);
                        readOpenJobs();
                    } else {
                        onResult.accept(Optional.empty());
                    }
                });
    }

    private void readOpenJobs() {
        readAll(
                StoreKeys.OPEN_JOBS,
                listing -> {
                    openJobs = listing;
                    if (withCellRecords) {
                        readLentTasks();
                    } else {
                        onRunningJobIdsKnown.accept(openJobIds());
                        readParts();
                    }
                });
    }

    private void readLentTasks() {
        readAll(
                StoreKeys.LENT_TASKS,
                listing -> {
                    lentTasks = listing.entries();
                    readBorrowedTasks();
                });
    }

    private void readBorrowedTasks() {
        readAll(
                StoreKeys.BORROWED_TASKS,
                listing -> {
                    borrowedTasks = listing.entries();
                    Set<String> runningJobIds = openJobIds();
                    borrowedTasks.forEach(entry -> runningJobIds.add(jobIdOfLoan(entry)));
                    onRunningJobIdsKnown.accept(runningJobIds);
                    readCancellationRequests();
                });
    }

    private void readCancellationRequests() {
        readAll(
                StoreKeys.CANCELLATION_REQUESTS,
                listing -> {
                    cancellationRequests = listing.entries();
                    readVoidedNumbers();
                });
    }

    private void readVoidedNumbers() {
        readAll(
                StoreKeys.VOIDED_NUMBERS,
                listing -> {
                    voidedNumbers = listing.entries();
                    readQuotaShares();
                });
    }

    private void readQuotaShares() {
        readAll(
                StoreKeys.QUOTA_SHARES,
                listing -> {
                    quotaShares = listing.entries();
                    readParts();
                });
    }

    private void readParts() {
        readAll(
                StoreKeys.JOB_PARTS,
                listing -> {
                    parts = listing;
                    readEndedJobs();
                });
    }

    private void readEndedJobs() {
        Set<String> notOpenJobIds = new LinkedHashSet<>();
        parts.entries().forEach(entry -> notOpenJobIds.add(StoreKeys.jobIdOfPart(entry.key())));
        notOpenJobIds.removeAll(openJobIds());
        // Borrowed tasks have no ended records here: their end is stored in the record of the loan.
        borrowedTasks.forEach(entry -> notOpenJobIds.remove(jobIdOfLoan(entry)));
        unreadEndedJobIds.addAll(notOpenJobIds);
        pendingEndedJobReads = unreadEndedJobIds.size();
        if (pendingEndedJobReads == 0) {
            onJobsRead();
            return;
        }
        for (int i = 0; i < MAX_IN_FLIGHT; i++) {
            readNextEndedJob();
        }
    }

    private void readNextEndedJob() {
        String id = unreadEndedJobIds.poll();
        if (id != null) {
            readEndedJob(id, 1);
        }
    }

    private void readEndedJob(String id, int attempt) {
        if (epoch.isStale()) {
            return;
        }
        store.get(
                StoreKeys.ENDED_JOBS + id,
                (outcome, entry) -> {
                    if (epoch.isStale()) {
                        return;
                    }
                    if (outcome != Outcome.OK && outcome != Outcome.REJECTED) {
                        timers.schedule(
                                Math.min(MAX_RETRY_SECONDS, RETRY_STEP_SECONDS * attempt),
                                () -> readEndedJob(id, attempt + 1));
                        return;
                    }
                    if (outcome == Outcome.OK) {
                        endedJobs.put(id, entry);
                    }
                    if (--pendingEndedJobReads == 0) {
                        onJobsRead();
                    } else {
                        readNextEndedJob();
                    }
                });
    }

    private void onJobsRead() {
        jobsRead = true;
        completeIfAllRead();
    }

    private Set<String> openJobIds() {
        Set<String> ids = new HashSet<>();
        for (Entry entry : openJobs.entries()) {
            ids.add(entry.key().substring(StoreKeys.OPEN_JOBS.length()));
        }
        return ids;
    }

    private static String jobIdOfLoan(Entry borrowed) {
        return DocumentReader.of(borrowed.value()).textOr("job", "");
    }
}
