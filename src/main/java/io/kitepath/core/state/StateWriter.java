package io.kitepath.core.state;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the jobs' records equal to what the shard leader has decided, and loads them when a leader
 * begins. Every write depends on the revision of the shard's record, the job's and the part's: none
 * can land late. Runs on the event loop.
 */
public final class StateWriter {
    private static final Logger LOG = LoggerFactory.getLogger(StateWriter.class);

    /** Before everything is read again after a reading that failed or did not fit together. */
    private static final double RELOAD_DELAY_SECONDS = 0.3;

    /** How often a page of the image records is asked for. */
    private static final int MAX_IMAGE_PAGE_ATTEMPTS = 3;

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;
    private final ShardState shard;
    private final ImageRecords images;
    private final Listener listener;
    private final StateLoader.LoanRecords loanRecords;
    private final WriteBatcher batcher;
    private final DependencyOutcomes dependencyOutcomes;
    private final StateRestorer restorer;
    private final Epoch epoch = new Epoch();

    private long shardRevision;
    private boolean loaded;

    /**
     * While the jobs are not loaded: ids of those of which something may run, empty before that is
     * known.
     */
    private Optional<Set<String>> runningJobIds = Optional.empty();

    /** What an earlier leader counted, if that was read in time. */
    private Optional<Object> previousServiceLevels = Optional.empty();

    /** What the rest of the node has to know of the store. */
    public interface Listener {
        /** Another node leads the shard, or none. */
        void shardLost();

        /**
         * The store has it that this job is done, or cancelled because of a cancelled dependency.
         */
        void jobEnded(JobStatus job);

        /** The cloud intents that earlier leaders, or this one, have written. */
        void cloudIntentsLoaded(List<Entry> cloudIntents);

        /** The record of a cloud intent has changed, or is gone if it has no value. */
        void cloudIntentChanged(Entry cloudIntent);

        /**
         * It is known which jobs may run.
         *
         * @param sinceMillis when that was asked, by this node's wall clock: what was cancelled
         *     before is taken into account
         */
        void runningJobsKnown(double sinceMillis);

        /**
         * Jobs that other nodes say are cancelled, which what is read from the store may not show
         * yet.
         */
        Set<String> cancelledMeanwhile();

        /** The memory and the store may differ: everything has to be loaded again. */
        void reloadRequired(String reason);
    }

    /**
     * A writer of other records that takes part in one of the leader's batches, so under the
     * revision of the shard's record and never beside another write of the leader. After {@link
     * Listener#reloadRequired} it is forgotten, and has to be composed anew before it is enqueued
     * again.
     */
    public interface BatchContributor {
        /**
         * Whether something waits for it. The others go along when the write rate has some to
         * spare.
         */
        default boolean isUrgent() {
            return true;
        }

        /** Whether it is still to be written; false for instance if its job has ended by now. */
        boolean isStillWanted();

        /** Adds its writes, a handful at most, and the conditions that they depend on. */
        void contributeTo(Transaction transaction);

        /** The store has its writes, at that revision. */
        void onCommitted(long revision);
    }

    /**
     * Creates a writer that neither reads nor writes before it is started.
     *
     * @param loanRecords takes the records about other cells; {@link StateLoader.LoanRecords#NONE},
     *     for which null is taken too, where there are none
     */
    public StateWriter(
            Store store,
            Timers timers,
            ShardState shard,
            ImageRecords images,
            Listener listener,
            StateLoader.LoanRecords loanRecords) {
        this.settings = shard.settings();
        this.store = store;
        this.timers = timers;
        this.shard = shard;
        this.images = images;
        this.listener = listener;
        this.loanRecords = Objects.requireNonNullElse(loanRecords, StateLoader.LoanRecords.NONE);
        this.batcher = new WriteBatcher(store, timers, shard, images, listener);
        this.dependencyOutcomes =
                new DependencyOutcomes(settings, store, timers, shard.jobDependencies());
        this.restorer = new StateRestorer(timers, shard, listener, this.loanRecords);
    }

    // ---- state and figures ----------------------------------------------------------------------

    /** Transactions that the store will never take, as over its limits. */
    public long rejectedTransactions() {
        return batcher.invalidTransactions();
    }

    /**
     * Times that a record was not written since it would be too large; it is once there is less to
     * say in it.
     */
    public long oversizeRecords() {
        return batcher.oversizeRecords();
    }

    /** Transactions that this node has sent as a leader, each counted once. */
    public long transactionsSent() {
        return batcher.transactionsSent();
    }

    /** Records in those transactions. */
    public long recordsSent() {
        return batcher.recordsSent();
    }

    /** Whether the memory has all jobs of the store. */
    public boolean isLoaded() {
        return loaded;
    }

    /** Whether it is known of which jobs something may run, if not yet all about them. */
    public boolean knowsRunningJobs() {
        return loaded || runningJobIds.isPresent();
    }

    /**
     * Whether a task of that job may be on a machine. Guards against an answer that keeps the lease
     * of a cancelled job's task while the jobs are still being read, or while the machine has not
     * shown our fencing token yet.
     */
    public boolean mayRun(String id) {
        if (loaded) {
            Job job = shard.jobs().get(id);
            return job != null && !job.isFinished();
        }
        return runningJobIds.isPresent()
                && runningJobIds.get().contains(id)
                && !listener.cancelledMeanwhile().contains(id);
    }

    /** The revision of the shard's record that all writes depend on. */
    public long shardRevision() {
        return shardRevision;
    }

    /** Whether a transaction was sent whose outcome is not known yet. */
    public boolean isWriting() {
        return batcher.isWriting();
    }

    // ---- loading --------------------------------------------------------------------------------

    /**
     * Loads all jobs, for a new leader or once more for the same one, and follows their changes
     * from then on.
     *
     * @param key the key of the shard's record
     * @param revision that record's revision, on which all writes depend
     * @param onChange runs when the jobs are loaded and whenever something about them has changed
     */
    public void start(String key, long revision, Runnable onChange) {
        shardRevision = revision;
        batcher.useShardRecord(key, revision);
        if (loaded) {
            // What is known of them stays known while they are read once more.
            runningJobIds = Optional.of(openJobIds());
        }
        load(epoch.advance(), onChange);
    }

    /** Stops writing, loading and following; this node does not lead any more. */
    public void stop() {
        epoch.advance();
        loaded = false;
        runningJobIds = Optional.empty();
        batcher.stop();
        images.clear();
        dependencyOutcomes.stop();
    }

    private Set<String> openJobIds() {
        Set<String> ids = new HashSet<>();
        for (Job job : shard.jobs().values()) {
            if (!job.isFinished()) {
                ids.add(job.spec.id());
            }
        }
        return ids;
    }

    private void load(Epoch.Token token, Runnable onChange) {
        if (token.isStale()) {
            return;
        }
        loaded = false;
        batcher.stop();
        readServiceLevels(token);
        double startedMillis = timers.wallClockMillis();
        StateLoader loader =
                new StateLoader(
                        store,
                        timers,
                        hasOtherCells(),
                        token,
                        ids -> {
                            runningJobIds = Optional.of(ids);
                            listener.runningJobsKnown(startedMillis);
                        });
        loader.load(
                found -> {
                    if (found.isPresent() && restore(found.get())) {
                        onLoaded(token, found.get(), onChange);
                    } else {
                        timers.schedule(RELOAD_DELAY_SECONDS, () -> load(token, onChange));
                    }
                });
    }

    private boolean hasOtherCells() {
        return loanRecords != StateLoader.LoanRecords.NONE;
    }

    /** Beside the jobs, which do not wait for it. */
    private void readServiceLevels(Epoch.Token token) {
        previousServiceLevels = Optional.empty();
        store.get(
                StoreKeys.SERVICE_LEVELS,
                (outcome, entry) -> {
                    if (!token.isStale() && outcome == Outcome.OK) {
                        previousServiceLevels = Optional.ofNullable(entry.value());
                    }
                });
    }

    private boolean restore(StateLoader.LoadedState found) {
        if (!restorer.restore(found, previousServiceLevels)) {
            return false;
        }
        loaded = true;
        // Guards against what was read before a cancellation that other nodes reported meanwhile.
        List.copyOf(listener.cancelledMeanwhile()).forEach(shard::finishJob);
        LOG.info("state loaded: jobs={} parts={}", shard.jobs().size(), found.parts().size());
        return true;
    }

    private void onLoaded(Epoch.Token token, StateLoader.LoadedState found, Runnable onChange) {
        if (found.layout().isEmpty()) {
            enqueue(new LayoutRecord(shard));
        }
        readImages(token);
        dependencyOutcomes.start(onChange);
        dependencyOutcomes.askForUnknown();
        followChanges(token, found, onChange);
        onChange.run();
    }

    /** Beside the work, none of which waits for it; nothing happens if it can't be had. */
    private void readImages(Epoch.Token token) {
        PagedScan.read(
                store,
                timers,
                StoreKeys.IMAGES,
                MAX_IMAGE_PAGE_ATTEMPTS,
                records -> {
                    if (!token.isStale() && records.outcome() == Outcome.OK) {
                        images.load(records.entries());
                        shard.machines().values().forEach(images::restoreImages);
                    }
                });
    }

    private void followChanges(
            Epoch.Token token, StateLoader.LoadedState found, Runnable onChange) {
        long holdMillis = (long) (settings.workers().leaseSeconds() * 500);
        RecordWatch watch =
                new RecordWatch(store, timers, holdMillis, token, new ChangeListener(onChange));
        watch.follow(StoreKeys.OPEN_JOBS, found.revision(), restorer::onOpenJobChanged);
        watch.follow(
                StoreKeys.CLOUD_INTENTS,
                found.cloudIntents().revision(),
                listener::cloudIntentChanged);
        if (hasOtherCells()) {
            watch.follow(
                    StoreKeys.CANCELLATION_REQUESTS,
                    found.revision(),
                    loanRecords::cancellationRequestChanged);
        }
    }

    private final class ChangeListener implements RecordWatch.Listener {
        private final Runnable onChange;

        ChangeListener(Runnable onChange) {
            this.onChange = onChange;
        }

        @Override
        public void onAnswer() {
            dependencyOutcomes.askForUnknown();
        }

        @Override
        public void onChanges() {
            onChange.run();
        }

        @Override
        public void onChangesMissed() {
            listener.reloadRequired("changes of the jobs were missed");
        }
    }

    // ---- writing --------------------------------------------------------------------------------

    /** Has the contributor take part in one of the next batches. */
    public void enqueue(BatchContributor contributor) {
        batcher.enqueue(contributor);
    }

    /**
     * Writes what differs from the store, if anything does, the write rate allows it and the jobs
     * are loaded.
     *
     * @param onCommitted runs when the store has it
     */
    public void write(Runnable onCommitted) {
        if (loaded) {
            batcher.write(onCommitted);
        }
    }
}
