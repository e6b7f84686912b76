package io.kitepath.core.state;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Restores the shard's state in memory from stored records and keeps its open jobs up to date. */
final class StateRestorer {
    private static final Logger LOG = LoggerFactory.getLogger(StateRestorer.class);

    /** Number of reloads before a part without a job is skipped. */
    private static final int MAX_RELOADS_FOR_ORPHAN_PARTS = 5;

    private final Timers timers;
    private final ShardState shard;
    private final StateWriter.Listener listener;
    private final StateLoader.LoanRecords loanRecords;

    /** Number of consecutive reads that were inconsistent. */
    private int consecutiveInconsistentReads;

    StateRestorer(
            Timers timers,
            ShardState shard,
            StateWriter.Listener listener,
            StateLoader.LoanRecords loanRecords) {
        this.timers = timers;
        this.shard = shard;
        this.listener = listener;
        this.loanRecords = loanRecords;
    }

    /**
     * Replaces all jobs in memory by the loaded ones.
     *
     * @param serviceLevels the service levels that an earlier leader recorded, if they were read in
     *     time
     * @return false if the loaded records are inconsistent, for example because jobs were accepted
     *     or ended during the load; everything has to be read again
     */
    boolean restore(StateLoader.LoadedState loadedState, Optional<Object> serviceLevels) {
        double nowSeconds = timers.nowSeconds();
        shard.clearJobs();
        if (loadedState.layout().isPresent() && !restoreLayout(loadedState.layout().get())) {
            return false;
        }
        serviceLevels.ifPresent(this::restoreServiceLevels);
        // Before the jobs' parts, so that a machine to be released counts as releasing as soon as
        // it becomes known.
        listener.cloudIntentsLoaded(loadedState.cloudIntents().entries());
        loadedState.openJobs().forEach(this::addOpenJob);
        loanRecords.adoptLoaded(loadedState);
        loadedState.endedJobs().forEach(this::addEndedJob);
        for (Entry entry : loadedState.parts()) {
            if (!restorePart(entry, nowSeconds)) {
                return false;
            }
        }
        consecutiveInconsistentReads = 0;
        return true;
    }

    /**
     * Returns false if the layout can't be read; everything is then read again until it can. Guards
     * against a leader that reads parts by an assumed layout and therefore starts tasks that are
     * already running.
     */
    private boolean restoreLayout(Entry layout) {
        try {
            DocumentReader document = DocumentReader.of(layout.value());
            shard.setTasksPerPart((int) document.integer("partTasks", 1, Integer.MAX_VALUE));
            return true;
        } catch (InvalidInputException unreadable) {
            logUnreadable(layout.key(), unreadable);
            return false;
        }
    }

    private void restoreServiceLevels(Object record) {
        try {
            shard.serviceLevels().restore(record);
        } catch (InvalidInputException invalid) {
            logUnreadable(StoreKeys.SERVICE_LEVELS, invalid);
        }
    }

    private void addEndedJob(String id, Entry entry) {
        try {
            shard.addFinishedJob(toJob(id, entry));
        } catch (InvalidInputException | IllegalArgumentException unreadable) {
            logUnreadable(entry.key(), unreadable);
        }
    }

    /** Returns false if the part's job is not known and everything has to be read again. */
    private boolean restorePart(Entry entry, double nowSeconds) {
        Job job = shard.jobs().get(StoreKeys.jobIdOfPart(entry.key()));
        if (job == null) {
            if (consecutiveInconsistentReads++ < MAX_RELOADS_FOR_ORPHAN_PARTS) {
                // The job was created after the open jobs were read, or has just ended.
                return false;
            }
            // Guards against a leader that never stops reloading because of an orphaned record. A
            // job that is neither open nor ended was never accepted, so none of its tasks is ever
            // placed; the garbage collection reports the record.
            LOG.error("record without a job skipped: key={}", entry.key());
            return true;
        }
        int part = StoreKeys.indexOfPart(entry.key());
        if (part < job.partCount()) {
            restoreOrHold(job, part, entry, nowSeconds);
        }
        return true;
    }

    /**
     * Restores a part, or holds it if its record is unreadable. Guards against a single unreadable
     * record that keeps a new leader from loading any job.
     */
    private void restoreOrHold(Job job, int part, Entry entry, double nowSeconds) {
        try {
            shard.restorePart(job, part, entry.value(), entry.revision(), nowSeconds);
        } catch (InvalidInputException unreadable) {
            logUnreadable(entry.key(), unreadable);
            shard.markPartUnreadable(job, part);
        }
    }

    /** Handles a change of an open job's record. */
    void onOpenJobChanged(Entry entry) {
        if (entry.value() != null) {
            addOpenJob(entry);
        } else {
            shard.finishJob(openJobId(entry));
        }
    }

    private void addOpenJob(Entry entry) {
        String id = openJobId(entry);
        if (shard.jobs().containsKey(id)) {
            return;
        }
        try {
            shard.addJob(toJob(id, entry));
        } catch (InvalidInputException | IllegalArgumentException unreadable) {
            logUnreadable(entry.key(), unreadable);
        }
    }

    private static String openJobId(Entry entry) {
        return entry.key().substring(StoreKeys.OPEN_JOBS.length());
    }

    private Job toJob(String id, Entry entry) {
        return Job.of(
                JobRecord.fromRecord(id, entry.value()),
                shard.settings(),
                entry.key(),
                entry.revision(),
                shard.tasksPerPart());
    }

    private static void logUnreadable(String key, RuntimeException cause) {
        LOG.error("record unreadable: key={} reason={}", key, cause.getMessage());
    }
}
