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

/** Turns records of the store into the shard's state in memory, and keeps its list of open jobs. */
final class StateRestorer {
    private static final Logger LOG = LoggerFactory.getLogger(StateRestorer.class);

    /** How often everything is read again before a part without a job is passed over. */
    private static final int MAX_RELOADS_FOR_ORPHAN_PARTS = 5;

    private final Timers timers;
    private final ShardState shard;
    private final StateWriter.Listener listener;
    private final StateLoader.LoanRecords loanRecords;

    /** How often in a row what was read did not fit together. */
    private int inconsistentReads;

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
     * Replaces all jobs in memory by those that were read.
     *
     * @param serviceLevels what an earlier leader counted, if that was read in time
     * @return false if what was read does not fit together, as when jobs came or ended meanwhile:
     *     everything has to be read once more
     */
    boolean restore(StateLoader.LoadedState found, Optional<Object> serviceLevels) {
        double now = timers.nowSeconds();
        shard.clearJobs();
        if (found.layout().isPresent() && !restoreLayout(found.layout().get())) {
            return false;
        }
        serviceLevels.ifPresent(this::restoreServiceLevels);
        // Before the jobs' parts: a machine that is released is one from the first time that it is
        // heard of.
        listener.cloudIntentsLoaded(found.cloudIntents().entries());
        found.openJobs().forEach(this::addOpenJob);
        loanRecords.adoptLoaded(found);
        found.endedJobs().forEach(this::addEndedJob);
        for (Entry entry : found.parts()) {
            if (!restorePart(entry, now)) {
                return false;
            }
        }
        inconsistentReads = 0;
        return true;
    }

    /**
     * Returns false if the layout can't be read. Guards against a leader that reads parts by a
     * layout which it guesses, and so starts tasks that run already: it reads everything again
     * until the record can be read.
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

    /** Returns false if the part's job is not known and all has to be read again. */
    private boolean restorePart(Entry entry, double now) {
        Job job = shard.jobs().get(StoreKeys.jobOfPart(entry.key()));
        if (job == null) {
            if (inconsistentReads++ < MAX_RELOADS_FOR_ORPHAN_PARTS) {
                // Created after the list of open jobs was read, or just ended.
                return false;
            }
            // Guards against a leader that reads for ever because of a record that nothing refers
            // to. A job that is neither open nor ended was never accepted, so nothing of it is ever
            // placed; the garbage collector reports it.
            LOG.error("record {} belongs to no job", entry.key());
            return true;
        }
        int part = StoreKeys.indexOfPart(entry.key());
        if (part < job.partCount()) {
            restoreOrHold(job, part, entry, now);
        }
        return true;
    }

    /**
     * Guards against a new leader that never gets to know any job since the record of a part of one
     * can't be read.
     */
    private void restoreOrHold(Job job, int part, Entry entry, double now) {
        try {
            shard.restorePart(job, part, entry.value(), entry.revision(), now);
        } catch (InvalidInputException unreadable) {
            logUnreadable(entry.key(), unreadable);
            shard.markPartUnreadable(job, part);
        }
    }

    /** An open job's record has changed. */
    void onOpenJobChanged(Entry entry) {
        if (entry.value() != null) {
            addOpenJob(entry);
        } else {
            shard.finishJob(idOfOpenJob(entry));
        }
    }

    private void addOpenJob(Entry entry) {
        String id = idOfOpenJob(entry);
        if (shard.jobs().containsKey(id)) {
            return;
        }
        try {
            shard.addJob(toJob(id, entry));
        } catch (InvalidInputException | IllegalArgumentException unreadable) {
            logUnreadable(entry.key(), unreadable);
        }
    }

    private static String idOfOpenJob(Entry entry) {
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
        LOG.error("record {} is unreadable: {}", key, cause.getMessage());
    }
}
