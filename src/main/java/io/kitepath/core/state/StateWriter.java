package io.kitepath.core.state;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobRecord;
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
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the jobs' records equal to what the holder has decided, one transaction at a time, and
 * loads them when a holder begins. Every write depends on the block's revision, the job's and the
 * part's: none can land late.
 */
public final class StateWriter {
    private static final Logger LOG = LoggerFactory.getLogger(StateWriter.class);

    /** How often everything is read again before a part of no job is passed over. */
    private static final int MAX_RELOADS_FOR_ORPHAN_PARTS = 5;

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;
    private final ShardState shard;
    private final ImageRecords images;
    private final Listener listener;
    private final WriteBatcher batcher;
    private final DependencyOutcomes dependencyOutcomes;

    /** Null without other cells. */
    private final StateLoader.LoanRecords loanRecords;

    private long epoch;
    private long shardRevision;
    private boolean isLoaded;

    /**
     * While the jobs are not known: ids of those of which something may run; null before that is
     * known.
     */
    private Set<String> runningJobIds;

    /** How often in a row what was read did not fit together. */
    private int inconsistentReads;

    /** What an earlier holder counted as served, if that was read in time. */
    private Object previousServiceRecord;

    public interface Listener {
        /** Somebody else holds the block, or nobody. */
        void shardLost();

        /** The store has it that this job is done, or cancelled for one that it needs. */
        void jobEnded(JobStatus job);

        /** What earlier holders, or this one, put down to ask of the cloud. */
        void cloudIntentsLoaded(List<Entry> acts);

        /** One of these records has changed. */
        void cloudIntentChanged(Entry act);

        /**
         * It is known which jobs may run, by what was read from that moment on, in milliseconds of
         * our time of day.
         */
        void runningJobsKnown(double sinceMs);

        /**
         * Jobs that others say are cancelled, which what is read from the store may not show yet.
         */
        Set<String> cancelledMeanwhile();

        /** The memory and the store may differ. */
        void reloadRequired(String why);
    }

    /**
     * Something else that is written by the holder, in one of its rounds, so under the block's
     * revision and never beside another write of its. Whoever hands one in again after {@link
     * Listener#outOfStep} works it out anew.
     */
    public interface BatchContributor {
        /**
         * Whether something waits for it. What can wait itself goes along when the rate has some to
         * spare.
         */
        default boolean isUrgent() {
            return true;
        }

        /** False if it is not wanted any more, as when its job is over by now. */
        boolean isStillWanted();

        /** What it writes and on what that depends. */
        void contributeTo(Transaction transaction);

        /** The store has it, at that revision. */
        void onCommitted(long revision);
    }

    /** {@code elsewhere} takes the records about other cells, first of all; null without such. */
    public StateWriter(
            Store store,
            Timers timers,
            ShardState shard,
            ImageRecords images,
            Listener listener,
            StateLoader.LoanRecords elsewhere) {
        this.loanRecords = elsewhere;
        this.settings = shard.settings();
        this.store = store;
        this.timers = timers;
        this.shard = shard;
        this.images = images;
        this.listener = listener;
        this.batcher = new WriteBatcher(store, timers, shard, images, listener);
        this.dependencyOutcomes =
                new DependencyOutcomes(settings, store, timers, shard.jobDependencies());
    }

    /** Transactions that the store refused for good, as over its limits. */
    public long rejectedTransactions() {
        return batcher.rejectedTransactions();
    }

    /**
     * Times that a record was not written since it would be too large; it is once there is less to
     * say in it.
     */
    public long oversizeRecords() {
        return batcher.oversizeRecords();
    }

    /** Transactions, and records, that this holder has written. */
    public long transactionsSent() {
        return batcher.transactionsSent();
    }

    public long recordsSent() {
        return batcher.recordsSent();
    }

    public boolean isLoaded() {
        return isLoaded;
    }

    /** Whether it is known of which jobs something may run, if not yet all about them. */
    public boolean knowsRunningJobs() {
        return isLoaded || runningJobIds != null;
    }

    /**
     * Whether a task of that job may be on a machine. Guards against an answer that keeps the lease
     * of a cancelled job's task since the jobs are still being read, or the machine has not shown
     * our token yet.
     */
    public boolean mayRun(String id) {
        if (isLoaded) {
            Job job = shard.jobs().get(id);
            return job != null && !job.isFinished();
        }
        return runningJobIds != null
                && runningJobIds.contains(id)
                && !listener.cancelledMeanwhile().contains(id);
    }

    public long shardRevision() {
        return shardRevision;
    }

    public boolean isWriting() {
        return batcher.isWriting();
    }

    public void stop() {
        epoch++;
        isLoaded = false;
        runningJobIds = null;
        batcher.stop();
        images.clear();
        dependencyOutcomes.stop();
    }

    /** Writes that along in one of the next rounds. */
    public void enqueue(BatchContributor contributor) {
        batcher.enqueue(contributor);
    }

    // ---- loading --------------------------------------------------------------------------------

    public void start(String key, long revision, Runnable ready) {
        shardRevision = revision;
        batcher.useShardRecord(key, revision);
        if (isLoaded) {
            // What is known of them stays known while they are read once more.
            runningJobIds = new HashSet<>();
            shard.jobs().values().stream()
                    .filter(job -> !job.isFinished())
                    .forEach(job -> runningJobIds.add(job.spec.id()));
        }
        load(++epoch, ready);
    }

    private void again(long e, Runnable ready) {
        timers.schedule(0.3, () -> load(e, ready));
    }

    private void load(long e, Runnable ready) {
        if (e != epoch) {
            return;
        }
        isLoaded = false;
        batcher.stop();
        previousServiceRecord = null;
        store.get(
                StoreKeys.SERVICE_LEVELS,
                (outcome, entry) -> {
                    if (e == epoch && outcome == Outcome.OK) {
                        previousServiceRecord = entry.value();
                    }
                });
        double readingMs = timers.wallClockMillis();
        new StateLoader(
                        store,
                        timers,
                        loanRecords != null,
                        () -> e != epoch,
                        ids -> {
                            runningJobIds = ids;
                            listener.runningJobsKnown(readingMs);
                        })
                .read(
                        found -> {
                            if (found != null && adopt(found)) {
                                layOut(found.layout());
                                readImages(e);
                                dependencyOutcomes.start(ready);
                                dependencyOutcomes.askForUnknown();
                                follow(
                                        e,
                                        StoreKeys.OPEN_JOBS,
                                        found.revision(),
                                        ready,
                                        this::jobChanged);
                                follow(
                                        e,
                                        StoreKeys.CLOUD_INTENTS,
                                        found.cloudIntents().revision(),
                                        ready,
                                        listener::cloudIntentChanged);
                                if (loanRecords != null) {
                                    follow(
                                            e,
                                            StoreKeys.CANCELLATION_REQUESTS,
                                            found.revision(),
                                            ready,
                                            loanRecords::cancellationRequestChanged);
                                }
                                ready.run();
                            } else {
                                again(e, ready);
                            }
                        });
    }

    /**
     * Puts down by what the parts of jobs are laid out whose records do not say. Guards against
     * settings that change: a part's key would mean other tasks, and those on machines would be
     * started once more.
     */
    private void layOut(Entry known) {
        if (known != null) {
            return;
        }
        enqueue(
                new BatchContributor() {
                    @Override
                    public boolean isUrgent() {
                        return false;
                    }

                    @Override
                    public boolean isStillWanted() {
                        return true;
                    }

                    @Override
                    public void contributeTo(Transaction transaction) {
                        transaction
                                .requireRevision(StoreKeys.LAYOUT, 0)
                                .put(
                                        StoreKeys.LAYOUT,
                                        Map.of("partTasks", (long) shard.tasksPerPart()));
                    }

                    @Override
                    public void onCommitted(long revision) {
                        LOG.info(
                                "parts of jobs hold {} tasks where their records do not say",
                                shard.tasksPerPart());
                    }
                });
    }

    /** After all that work waits for, and without a word if it can't be had. */
    private void readImages(long e) {
        PagedScan.read(
                store,
                timers,
                StoreKeys.IMAGES,
                3,
                records -> {
                    if (e == epoch && records.outcome() == Outcome.OK) {
                        images.load(records.entries());
                        shard.machines().values().forEach(images::restoreImages);
                    }
                });
    }

    /** False if what was read does not fit together: jobs came or ended while it was read. */
    private boolean adopt(StateLoader.LoadedState found) {
        double now = timers.nowSeconds();
        shard.clearJobs();
        if (found.layout() != null) {
            shard.setTasksPerPart(
                    (int)
                            DocumentReader.of(found.layout().value())
                                    .integer("partTasks", 1, Integer.MAX_VALUE));
        }
        if (previousServiceRecord != null) {
            try {
                shard.serviceLevels().restore(previousServiceRecord);
            } catch (InvalidInputException invalid) {
                LOG.error(
                        "record {} is unreadable: {}",
                        StoreKeys.SERVICE_LEVELS,
                        invalid.getMessage());
            }
        }
        // Before the jobs' parts: a machine that goes is one from the first time that it is heard
        // of.
        listener.cloudIntentsLoaded(found.cloudIntents().entries());
        found.openJobs().forEach(this::opened);
        if (loanRecords != null) {
            loanRecords.adoptLoaded(found);
        }
        found.endedJobs()
                .forEach(
                        (id, entry) -> {
                            try {
                                shard.addFinishedJob(job(id, entry));
                            } catch (InvalidInputException | IllegalArgumentException bad) {
                                LOG.error(
                                        "record {} is unreadable: {}",
                                        entry.key(),
                                        bad.getMessage());
                            }
                        });
        for (Entry entry : found.parts()) {
            Job job = shard.jobs().get(StoreKeys.jobOfPart(entry.key()));
            if (job == null) {
                if (inconsistentReads++ < MAX_RELOADS_FOR_ORPHAN_PARTS) {
                    // Created after the list of open jobs was read, or just moved: read everything
                    // once more.
                    return false;
                }
                // Guards against a holder that reads for ever because of a record that nothing
                // refers to. A job that is neither open nor over was never accepted, so nothing of
                // it is ever placed; the cleanup says so.
                LOG.error("record {} is of no job", entry.key());
                continue;
            }
            int part = StoreKeys.indexOfPart(entry.key());
            if (part < job.partCount()) {
                shard.restorePart(job, part, entry.value(), entry.revision(), now);
            }
        }
        inconsistentReads = 0;
        isLoaded = true;
        // Guards against what was read before a cancellation that others told us of meanwhile.
        List.copyOf(listener.cancelledMeanwhile()).forEach(shard::finishJob);
        LOG.info("loaded {} jobs, {} parts", shard.jobs().size(), found.parts().size());
        return true;
    }

    private Job job(String id, Entry entry) {
        return Job.of(
                JobRecord.fromRecord(id, entry.value()),
                settings,
                entry.key(),
                entry.revision(),
                shard.tasksPerPart());
    }

    private void opened(Entry entry) {
        String id = entry.key().substring(StoreKeys.OPEN_JOBS.length());
        if (shard.jobs().containsKey(id)) {
            return;
        }
        try {
            shard.addJob(job(id, entry));
        } catch (InvalidInputException | IllegalArgumentException bad) {
            LOG.error("record {} is unreadable: {}", entry.key(), bad.getMessage());
        }
    }

    private void jobChanged(Entry entry) {
        if (entry.value() != null) {
            opened(entry);
        } else {
            shard.finishJob(entry.key().substring(StoreKeys.OPEN_JOBS.length()));
        }
    }

    private void follow(
            long e, String prefix, long after, Runnable ready, Consumer<Entry> changed) {
        if (e != epoch) {
            return;
        }
        long holdMs = (long) (settings.workers().leaseSeconds() * 500);
        store.watch(
                prefix,
                after,
                holdMs,
                changes -> {
                    if (e != epoch) {
                        return;
                    }
                    if (changes.outcome() == Outcome.OK) {
                        changes.events().forEach(changed);
                        dependencyOutcomes.askForUnknown();
                        follow(e, prefix, Math.max(after, changes.revision()), ready, changed);
                        if (!changes.events().isEmpty()) {
                            ready.run();
                        }
                    } else if (changes.outcome() == Outcome.REJECTED) {
                        listener.reloadRequired("changes of the jobs were missed");
                    } else {
                        timers.schedule(0.3, () -> follow(e, prefix, after, ready, changed));
                    }
                });
    }

    // ---- writing --------------------------------------------------------------------------------

    /**
     * Writes what differs, if anything does and the rate allows; {@code done} runs when it is in
     * the store.
     */
    public void write(Runnable done) {
        if (isLoaded) {
            batcher.write(done);
        }
    }
}
