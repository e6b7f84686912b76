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
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the shard leader's decisions to the jobs' records, and loads the records when a leader
 * starts. Every write is conditional on the revisions of the shard's record, the job's record and
 * the part's record, so that a delayed write can't take effect. Runs on the event loop.
 */
public final class StateWriter {
    private static final Logger LOG = LoggerFactory.getLogger(StateWriter.class);

    /** Delay before everything is read again after a read that failed or was inconsistent. */
    private static final double RELOAD_DELAY_SECONDS = 0.3;

    /** Number of attempts to read a page of the image records. */
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
     * While the jobs are not loaded: ids of the jobs that may have running tasks. Empty until they
     * are known.
     */
    private Optional<Set<String>> runningJobIds = Optional.empty();

    /** The service levels that an earlier leader recorded, if they were read in time. */
    private Optional<Object> previousServiceLevels = Optional.empty();

    /** Receives events about the store that other components of the node depend on. */
    public interface Listener {
        /** Called when another node leads the shard or there is no leader. */
        void shardLost();

        /**
         * Called when the store has committed that this job is done, or cancelled because of a
         * cancelled dependency.
         */
        void jobEnded(JobStatus job);

        /** Called with the cloud intents that earlier leaders or this one have written. */
        void cloudIntentsLoaded(List<Entry> cloudIntents);

        /**
         * Called when the record of a cloud intent has changed; without a value, it was removed.
         */
        void cloudIntentChanged(Entry cloudIntent);

        /**
         * Called when it is known which jobs may have running tasks.
         *
         * @param readStartedMillis when the read started, by this node's wall clock; all
         *     cancellations before that time are taken into account
         */
        void runningJobsKnown(double readStartedMillis);

        /**
         * Returns the ids of jobs that other nodes report as cancelled. Records read from the store
         * may not show these cancellations yet.
         */
        Set<String> reportedCancelledJobIds();

        /** Called when memory and store may differ, so that everything has to be loaded again. */
        void reloadRequired(String reason);
    }

    /**
     * Adds writes of other records to one of the leader's batches, so that they are conditional on
     * the revision of the shard's record and never concurrent with another write of the leader.
     * After {@link Listener#reloadRequired} a queued contributor is discarded; it has to be created
     * anew before it is enqueued again.
     */
    public interface BatchContributor {
        /**
         * Returns whether other work waits for these writes. Contributors that are not urgent are
         * added when the write rate has capacity to spare.
         */
        default boolean isUrgent() {
            return true;
        }

        /**
         * Returns whether the writes are still needed; false, for example, if the job has ended.
         */
        boolean isStillWanted();

        /** Adds the writes, a few at most, and the conditions that they depend on. */
        void contributeTo(Transaction transaction);

        /** Called when the store has committed the writes at the given revision. */
        void onCommitted(long revision);
    }

    /**
     * Creates a writer that neither reads nor writes before it is started.
     *
     * @param loanRecords receives the records about other cells; {@link
     *     StateLoader.LoanRecords#NONE} if there are no other cells
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
        this.loanRecords = loanRecords;
        this.batcher = new WriteBatcher(store, timers, shard, images, listener);
        this.dependencyOutcomes =
                new DependencyOutcomes(settings, store, timers, shard.jobDependencies());
        this.restorer = new StateRestorer(timers, shard, listener, loanRecords);
    }

    // ---- state and counters ---------------------------------------------------------------------

    /** Returns the number of transactions that the store rejected as exceeding its limits. */
    public long invalidTransactions() {
        return batcher.invalidTransactions();
    }

    /**
     * Returns how often a record was not written because it was too large. It is written once its
     * content has shrunk.
     */
    public long oversizeRecords() {
        return batcher.oversizeRecords();
    }

    /** Returns the number of transactions that this node has sent as leader, without retries. */
    public long transactionsSent() {
        return batcher.transactionsSent();
    }

    /** Returns the number of records in the transactions sent. */
    public long recordsSent() {
        return batcher.recordsSent();
    }

    /** Returns whether all jobs of the store are loaded into memory. */
    public boolean isLoaded() {
        return loaded;
    }

    /** Returns whether it is known which jobs may have running tasks, even if not all is loaded. */
    public boolean knowsRunningJobs() {
        return loaded || runningJobIds.isPresent();
    }

    /**
     * Returns whether a task of the job may be on a machine. Guards against a heartbeat response
     * that renews the lease of a cancelled job's task while the jobs are still being read, or while
     * the machine has not confirmed this leader's fencing token yet.
     */
    public boolean mayHaveRunningTasks(String jobId) {
        if (loaded) {
            Job job = shard.jobs().get(jobId);
            return job != null && !job.isFinished();
        }
        return runningJobIds.isPresent()
                && runningJobIds.get().contains(jobId)
                && !listener.reportedCancelledJobIds().contains(jobId);
    }

    /** Returns the revision of the shard's record that all writes are conditional on. */
    public long shardRevision() {
        return shardRevision;
    }

    /** Returns whether a transaction was sent whose outcome is not known yet. */
    public boolean isWriting() {
        return batcher.isWriting();
    }

    // ---- loading --------------------------------------------------------------------------------

    /**
     * Loads all jobs, for a new leader or again for the same one, and watches them for changes from
     * then on.
     *
     * @param key the key of the shard's record
     * @param revision that record's revision, which all writes are conditional on
     * @param onChange runs when the jobs are loaded and after every change of them
     */
    public void start(String key, long revision, Runnable onChange) {
        shardRevision = revision;
        batcher.useShardRecord(key, revision);
        if (loaded) {
            // The jobs that may have running tasks stay known during the reload.
            runningJobIds = Optional.of(openJobIds());
        }
        load(epoch.advance(), onChange);
    }

    /** Stops writing, loading and watching, because this node is no longer the leader. */
    public void stop() {
        epoch.advance();
        loaded = false;
        runningJobIds = Optional.empty();
        batcher.stop();
        images.clear();
        dependencyOutcomes.stop();
    }

    private Set<String> openJobIds() {
        Set<String> jobIds = new HashSet<>();
        for (Job job : shard.jobs().values()) {
            if (!job.isFinished()) {
                jobIds.add(job.spec.id());
            }
        }
        return jobIds;
    }

    private void load(Epoch.Token token, Runnable onChange) {
        if (token.isStale()) {
            return;
        }
        loaded = false;
        batcher.stop();
        readServiceLevels(token);
        double readStartedMillis = timers.wallClockMillis();
        double startedAtSeconds = timers.nowSeconds();
        StateLoader loader =
                new StateLoader(
                        store,
                        timers,
                        hasOtherCells(),
                        token,
                        jobIds -> {
                            runningJobIds = Optional.of(jobIds);
                            listener.runningJobsKnown(readStartedMillis);
                        });
        loader.load(
                loadedState -> {
                    if (loadedState.isPresent() && restore(loadedState.get(), readStartedMillis)) {
                        LOG.info(
                                "state loaded: jobs={} parts={} endedJobsWithParts={} revision={}"
                                        + " seconds={}",
                                shard.jobs().size(),
                                loadedState.get().parts().size(),
                                loadedState.get().endedJobs().size(),
                                loadedState.get().revision(),
                                StateLoader.formatSeconds(timers.nowSeconds() - startedAtSeconds));
                        onLoaded(token, loadedState.get(), onChange);
                    } else {
                        LOG.info(
                                "state not loaded, reading it again: read={}",
                                loadedState.isPresent());
                        timers.schedule(RELOAD_DELAY_SECONDS, () -> load(token, onChange));
                    }
                });
    }

    private boolean hasOtherCells() {
        return loanRecords != StateLoader.LoanRecords.NONE;
    }

    /** Reads the service levels in parallel; loading the jobs does not wait for them. */
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

    /**
     * @param readStartedMillis when the read started, by this node's wall clock
     */
    private boolean restore(StateLoader.LoadedState loadedState, double readStartedMillis) {
        if (!restorer.restore(loadedState, previousServiceLevels)) {
            return false;
        }
        loaded = true;
        shard.jobDependencies().onVerificationStarted();
        shard.jobDependencies().onVerified(readStartedMillis);
        // Guards against records that were read before a cancellation which other nodes reported
        // during the load.
        List.copyOf(listener.reportedCancelledJobIds()).forEach(shard::finishJob);
        return true;
    }

    private void onLoaded(
            Epoch.Token token, StateLoader.LoadedState loadedState, Runnable onChange) {
        if (loadedState.layout().isEmpty()) {
            enqueue(new LayoutRecord(shard));
        }
        readImages(token);
        dependencyOutcomes.start(onChange);
        dependencyOutcomes.readUnknownOutcomes();
        followChanges(token, loadedState, onChange);
        onChange.run();
    }

    /** Reads the image records in the background; a failed read is ignored. */
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
            Epoch.Token token, StateLoader.LoadedState loadedState, Runnable onChange) {
        long holdMillis = (long) (settings.workers().leaseSeconds() * 500);
        RecordWatch watch =
                new RecordWatch(store, timers, holdMillis, token, new ChangeListener(onChange));
        watch.follow(StoreKeys.OPEN_JOBS, loadedState.revision(), restorer::onOpenJobChanged);
        watch.follow(
                StoreKeys.CLOUD_INTENTS,
                loadedState.cloudIntents().revision(),
                listener::cloudIntentChanged);
        if (hasOtherCells()) {
            watch.follow(
                    StoreKeys.CANCELLATION_REQUESTS,
                    loadedState.revision(),
                    loanRecords::cancellationRequestChanged);
        }
    }

    private final class ChangeListener implements RecordWatch.Listener {
        private final Runnable onChange;

        ChangeListener(Runnable onChange) {
            this.onChange = onChange;
        }

        @Override
        public void onResponse() {
            dependencyOutcomes.readUnknownOutcomes();
        }

        @Override
        public void onChanges() {
            onChange.run();
        }

        @Override
        public void onChangesMissed() {
            listener.reloadRequired("changes of job records were missed");
        }
    }

    /**
     * Reads how the dependencies ended whose outcome is not known, as far as the request rate
     * allows.
     */
    public void readDependencyOutcomes() {
        if (loaded) {
            dependencyOutcomes.readUnknownOutcomes();
        }
    }

    // ---- writing --------------------------------------------------------------------------------

    /** Adds the contributor to one of the next batches. */
    public void enqueue(BatchContributor contributor) {
        batcher.enqueue(contributor);
    }

    /**
     * Writes the changes that are not in the store yet, if there are any, the write rate allows it
     * and the jobs are loaded.
     *
     * @param onCommitted runs when the store has committed the batch
     */
    public void write(Runnable onCommitted) {
        if (loaded) {
            batcher.write(onCommitted);
        }
    }
}
