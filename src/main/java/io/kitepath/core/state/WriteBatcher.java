package io.kitepath.core.state;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.JsonSize;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.CommitResult;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateWriter.BatchContributor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the holder writes, round by round, one transaction at a time. Every write depends on the
 * block's revision, the job's and the part's, and an unknown outcome is settled by the very same
 * transaction.
 */
final class WriteBatcher {
    private static final Logger LOG = LoggerFactory.getLogger(WriteBatcher.class);

    /** Of the store's write rate; the rest is for submissions, cancellations and leases. */
    private static final double WRITE_SHARE = 0.7;

    /** Of the 64 KiB that a transaction may hold, by an estimate of its JSON form. */
    private static final int MAX_BYTES = 48 * 1024;

    /** Of those, a record's key and what depends on it. */
    private static final int RECORD_BYTES = 128;

    private final ClusterSettings facts;
    private final Store store;
    private final Timers timers;
    private final ShardState block;
    private final ImageRecords images;
    private final StateWriter.Listener listener;
    private final TokenBucket writes;

    /** What waits to be written along, in order. */
    private final ArrayDeque<BatchContributor> riders = new ArrayDeque<>();

    private final ArrayDeque<BatchContributor> patient = new ArrayDeque<>();

    /**
     * Writes that a transaction may have: fewer after one was refused for good, until others have
     * gone through.
     */
    private int mostWrites;

    private int refusedWrites = Integer.MAX_VALUE;
    private long epoch;
    private String blockKey;
    private long blockRevision;
    private WriteBatch round;

    /** When what was served was written last. */
    private double servedAt;

    private long rounds;
    private long written;
    private long invalid;
    private long oversize;

    WriteBatcher(
            Store store,
            Timers timers,
            ShardState block,
            ImageRecords images,
            StateWriter.Listener listener) {
        this.facts = block.facts();
        this.store = store;
        this.timers = timers;
        this.block = block;
        this.images = images;
        this.listener = listener;
        this.writes = new TokenBucket(facts.store().writeRps() * WRITE_SHARE);
        this.mostWrites = facts.store().txnOps();
    }

    /** The block's record, under whose revision everything is written from now on. */
    void under(String key, long revision) {
        blockKey = key;
        blockRevision = revision;
    }

    /** What is under way or waits is not wanted any more. */
    void stop() {
        epoch++;
        round = null;
        riders.clear();
        patient.clear();
    }

    void ride(BatchContributor r) {
        (r.urgent() ? riders : patient).add(r);
    }

    boolean underWay() {
        return round != null;
    }

    long invalid() {
        return invalid;
    }

    long oversize() {
        return oversize;
    }

    long rounds() {
        return rounds;
    }

    long written() {
        return written;
    }

    /**
     * Writes what differs, if anything does and the rate allows; {@code done} runs when it is in
     * the store. What users wait for goes first: jobs that end, then placings, which nothing may
     * start before. Other changes take what is left of the rate: until an end is written, its
     * worker just goes on reporting it.
     */
    void write(Runnable done) {
        if (round != null) {
            return;
        }
        double now = timers.now();
        double available = writes.available(now);
        int budget = (int) Math.min(mostWrites, available);
        WriteBatch r = new WriteBatch();
        r.transaction.when(blockKey, blockRevision);
        if (layOutAnew(r, budget)) {
            go(r, done, now);
            return;
        }
        board(r, riders, budget);
        cascade(r, budget * 3 / 4);
        // In turns: a swarm's ends, two writes each, would leave nothing to what is to start, and
        // the other way round.
        boolean endsFirst = rounds % 2 == 0;
        if (endsFirst) {
            budget = ends(r, budget);
        }
        // The longest waiting change goes along in any case, so that a stream of placings does not
        // put it off for ever.
        take(r, block.unwritten().changes(), Math.min(budget, r.transaction.writes().size() + 1));
        // Guards against a gang that waits for the records of hundreds of small jobs that were
        // placed before it.
        List<Job.Part> placings = new ArrayList<>(block.unwritten().placings());
        placings.sort(Comparator.comparingInt(p -> p.job.rank()));
        take(r, placings, budget);
        if (!endsFirst) {
            ends(r, budget);
        }
        double spare = available - facts.store().writeRps() * WRITE_SHARE / 2;
        take(r, block.unwritten().changes(), (int) Math.min(budget, spare));
        // Guards against placings of a burst that wait for records which are only to be struck off;
        // a backlog of those
        // that would grow for ever goes along all the same.
        board(r, patient, (int) Math.min(budget, patient.size() > budget ? budget : spare));
        if (r.transaction.writes().size() < budget && r.bytes < MAX_BYTES / 2) {
            Store.Write due = images.due(block.machines().values(), now);
            if (due == null && now - servedAt > facts.workers().leaseS() / 2) {
                servedAt = now;
                due = new Store.Write(StoreKeys.SERVED, block.served().record(timers.wallMs()), 0);
            }
            if (due != null && JsonSize.size(due.value()) <= block.recordBytes()) {
                r.transaction.put(due.key(), due.value());
            }
        }
        if (!r.transaction.writes().isEmpty()) {
            go(r, done, now);
        }
    }

    private void go(WriteBatch r, Runnable done, double now) {
        writes.take(r.transaction.writes().size(), now);
        round = r;
        rounds++;
        written += r.transaction.writes().size();
        send(epoch, done);
    }

    /** A job whose parts can't be on record as they are laid out is written anew, by itself. */
    private boolean layOutAnew(WriteBatch r, int budget) {
        for (Job job : block.wide()) {
            if (job.over()) {
                block.laidOut(job);
                continue;
            }
            RecordMigration l = new RecordMigration(job, facts.tasksPerNarrowPart());
            if (l.writes() > facts.store().txnOps()) {
                LOG.error(
                        "job {} has parts that can't be written under the limits that will come",
                        job.spec.id());
                block.laidOut(job);
            } else if (l.writes() <= budget) {
                l.board(r.transaction);
                r.relaid = l;
                return true;
            }
        }
        return false;
    }

    private void board(WriteBatch r, ArrayDeque<BatchContributor> waiting, int budget) {
        // Each takes a handful of writes at most; a quarter is left to everything else.
        while (!waiting.isEmpty()
                && r.transaction.writes().size() < budget * 3 / 4
                && r.bytes < MAX_BYTES / 2) {
            BatchContributor rider = waiting.poll();
            if (rider.wanted()) {
                rider.board(r.transaction);
                r.riders.add(rider);
                r.bytes += facts.store().valueKb() * 1024 / 4;
            }
        }
    }

    /**
     * Moves jobs that are done from open to over; returns the budget for what comes after, 0 if it
     * did not suffice.
     */
    private int ends(WriteBatch r, int budget) {
        List<Job> dropped = new ArrayList<>();
        int left = budget;
        for (Job job : block.jobs().values()) {
            if (job.over()) {
                if (job.live().isEmpty() && !job.recorded()) {
                    dropped.add(job);
                }
            } else if (ending(job) && !job.lentBusy()) {
                if (r.transaction.writes().size() + 2 > left) {
                    left = 0; // Guards against placings that leave no job's end its two writes,
                    // round after round.
                } else {
                    finish(r, job);
                }
            }
        }
        dropped.forEach(block::dropJob);
        return left;
    }

    /** All its tasks are done, and it is for us to say so. */
    private static boolean ending(Job job) {
        return !job.over() && job.complete() && !job.guest && !job.leaving();
    }

    private void take(WriteBatch r, List<Job.Part> from, int budget) {
        for (Job.Part p : from) {
            if (r.transaction.writes().size() >= budget || r.bytes >= MAX_BYTES) {
                return;
            }
            Job job = p.job;
            if (ending(job)) {
                continue; // Once the job is written as done.
            }
            block.unwritten().taken(p);
            if (!p.due() || !r.taken.add(p)) {
                continue;
            }
            if (!job.over() && r.conditioned.add(job)) {
                r.transaction.when(job.key, job.revision());
            }
            putPart(r, p);
        }
    }

    private void finish(WriteBatch r, Job job) {
        over(r, job, "done", job.spec.tasks());
        if (job.lentRevision() > 0) {
            r.transaction
                    .when(StoreKeys.LENT + job.spec.id(), job.lentRevision())
                    .remove(StoreKeys.LENT + job.spec.id());
        }
        r.finishing.add(job);
    }

    /**
     * Cancels jobs that need one which is cancelled. All that it takes is on record, so that the
     * next holder goes on with it wherever this one ends. They have no tasks to stop, as none of
     * them could start; but their users wait for word.
     */
    private void cascade(WriteBatch r, int budget) {
        for (Job job : block.pipelines().doomed()) {
            if (r.transaction.writes().size() + 2 > budget || r.bytes >= MAX_BYTES) {
                return;
            }
            over(r, job, "cancelled", 0);
            r.cancelling.add(job);
        }
    }

    private void over(WriteBatch r, Job job, String status, int done) {
        Map<String, Object> record =
                job.record()
                        .overMap(
                                Map.of(
                                        "status",
                                        status,
                                        "done",
                                        (long) done,
                                        "endedMs",
                                        timers.wallMs()),
                                block.recordBytes());
        r.bytes += JsonSize.size(record) + RECORD_BYTES;
        r.transaction
                .when(job.key, job.revision())
                .remove(job.key)
                .put(StoreKeys.OVER + job.spec.id(), record);
    }

    private void putPart(WriteBatch r, Job.Part p) {
        Job job = p.job;
        String key = StoreKeys.part(job.spec.id(), p.index);
        List<Attempt> live = job.liveIn(p.index);
        boolean remove = job.over() && live.isEmpty();
        if (remove && p.revision() == 0) {
            p.needsNoRecord();
            return;
        }
        r.transaction.when(key, p.revision());
        if (remove) {
            r.transaction.remove(key);
        } else {
            Map<String, Object> record = job.partRecord(p.index);
            if (JsonSize.size(record) > block.recordBytes()) {
                // Placed when records could be larger. Until enough of it has ended, its workers go
                // on reporting what
                // has, and no more of it is placed.
                oversize++;
                r.transaction.conditions().remove(r.transaction.conditions().size() - 1);
                return;
            }
            r.bytes += JsonSize.size(record) + RECORD_BYTES;
            r.transaction.put(key, record);
        }
        r.parts.add(new WriteBatch.Written(p, job.version(), remove));
    }

    private void send(long e, Runnable done) {
        WriteBatch r = round;
        store.commit(
                r.transaction,
                c -> {
                    if (e != epoch || round != r) {
                        return;
                    }
                    switch (c.outcome()) {
                        case OK -> committed(r, c.revision(), done);
                        case NO -> refused(r, c, done);
                        case INVALID -> invalid(r);
                        case REFUSED -> timers.after(0.2, () -> resend(e, r, done));
                        default -> {
                            // It may have been executed, or still be: the very same transaction
                            // again settles it, since
                            // its conditions let only one of the two through.
                            r.unsure = true;
                            timers.after(0.1, () -> resend(e, r, done));
                        }
                    }
                });
    }

    private void resend(long e, WriteBatch r, Runnable done) {
        if (e == epoch && round == r) {
            send(e, done);
        }
    }

    private void committed(WriteBatch r, long revision, Runnable done) {
        round = null;
        mostWrites = Math.min(Math.min(facts.store().txnOps(), refusedWrites - 1), mostWrites + 1);
        r.riders.forEach(x -> x.written(revision));
        for (WriteBatch.Written w : r.parts) {
            block.recorded(w.part(), w.version(), w.removed() ? 0 : revision);
        }
        for (Job job : r.finishing) {
            LOG.info("job {} done: {}", job.spec.id(), job.took(timers.now(), timers.wallMs()));
            block.served().done(job, timers.wallMs());
            block.pipelines().ended(job.spec.id(), true, timers.wallMs());
            block.jobOver(job.spec.id());
            listener.over(new JobStatus(job.spec.id(), "done", job.spec.tasks(), 0));
        }
        for (Job job : r.cancelling) {
            LOG.info("job {} cancelled, as one that it needs was", job.spec.id());
            block.pipelines().ended(job.spec.id(), false, timers.wallMs());
            block.jobOver(job.spec.id());
            listener.over(new JobStatus(job.spec.id(), "cancelled", 0, 0));
        }
        if (r.relaid != null) {
            r.relaid.written(block, revision);
        }
        done.run();
    }

    /** None of it was written; all of it waits again. */
    private void putBack(WriteBatch r) {
        round = null;
        r.parts.forEach(w -> block.unwritten().queue(w.part()));
        for (int i = r.riders.size() - 1; i >= 0; i--) {
            BatchContributor rider = r.riders.get(i);
            (rider.urgent() ? riders : patient).addFirst(rider);
        }
    }

    /**
     * The store won't ever take it: its limits are lower than anybody said. Guards against the same
     * transaction worked out again and again while everything else waits: the next ones are
     * smaller, down to a single record, and one that is refused by itself waits until it has
     * changed.
     */
    private void invalid(WriteBatch r) {
        invalid++;
        int n = r.transaction.writes().size();
        Store.Write largest =
                r.transaction.writes().stream()
                        .max(Comparator.comparingInt(WriteBatcher::size))
                        .orElseThrow();
        LOG.warn(
                "{} writes were refused for good, the largest one {} of {} bytes",
                n,
                largest.key(),
                size(largest));
        if (n > 1) {
            refusedWrites = Math.min(refusedWrites, n);
            mostWrites = Math.max(2, n / 2);
        } else if (largest.value() != null) {
            block.recordsBelow(size(largest));
            refusedWrites = Integer.MAX_VALUE; // It may have been this one all the time.
        }
        if (r.unsure) {
            round = null;
            listener.outOfStep("an earlier try of this write may have been executed");
        } else if (r.parts.size() + r.riders.size() + r.finishing.size() + r.cancelling.size()
                > 1) {
            putBack(r);
        } else {
            round = null;
            if (r.relaid != null) {
                block.laidOut(r.relaid.job);
            }
        }
    }

    private static int size(Store.Write w) {
        return w.value() == null ? 0 : JsonSize.size(w.value());
    }

    private void refused(WriteBatch r, CommitResult c, Runnable done) {
        if (c.failed().contains(blockKey)) {
            putBack(r);
            listener.blockLost();
        } else if (r.unsure) {
            settle(epoch, r, c, done);
        } else {
            notWritten(r, c);
        }
    }

    /**
     * An earlier try may have been carried out: whether it was shows where nobody else writes.
     * Guards against a holder that reads all jobs again for each answer that gets lost, and does
     * nothing else meanwhile.
     */
    private void settle(long e, WriteBatch r, CommitResult c, Runnable done) {
        WriteBatch.Witness witness = r.witness();
        if (witness == null) {
            putBack(r);
            listener.outOfStep("an earlier try of this write may have been executed");
            return;
        }
        store.get(
                witness.key(),
                (outcome, entry) -> {
                    if (e != epoch || round != r) {
                        return;
                    }
                    boolean known = outcome == Outcome.OK || outcome == Outcome.NO;
                    if (known && witness.shows(entry)) {
                        committed(r, entry == null ? 0 : entry.revision(), done);
                    } else if (known) {
                        // Nor can it be any more: a revision that was passed never comes back.
                        notWritten(r, c);
                    } else {
                        timers.after(0.2, () -> settle(e, r, c, done));
                    }
                });
    }

    private void notWritten(WriteBatch r, CommitResult c) {
        putBack(r);
        for (String key : c.failed()) {
            if (!key.startsWith(StoreKeys.OPEN)) {
                listener.outOfStep("unexpected revision of " + key);
                return;
            }
            // Cancelled just now; the next round goes without it.
            block.jobOver(key.substring(StoreKeys.OPEN.length()));
        }
        if (c.failed().isEmpty()) {
            listener.outOfStep("a write was refused without a reason");
        }
    }
}
