package io.kitepath.core.cell;

import io.kitepath.core.cell.CellMembership.RemoteCell;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CellMessage.LoanOffer;
import io.kitepath.core.model.CellMessage.LoanRecall;
import io.kitepath.core.model.CellMessage.LoanSettled;
import io.kitepath.core.model.CellMessage.LoanState;
import io.kitepath.core.model.CellMessage.LoanStatus;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.shard.TaskLoan;
import io.kitepath.core.state.StateLoader;
import io.kitepath.core.state.StateWriter;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The home's side of loans. A loan is written before it is offered, offered until the other cell's
 * store has an answer, and its tasks are ours again, or done, only by that answer. Its number is
 * never given twice: it holds the holder's token, and counts up under it. docs/cells.md has the
 * states and every crash between two writes.
 */
final class LentTasks {
    private static final Logger LOG = LoggerFactory.getLogger(LentTasks.class);

    /** Loans under one token. */
    private static final int BITS = 20;

    /** What of this the rest of the cell has to know. */
    interface Listener {
        /** Our store has it that the job, part of which was lent, is cancelled. */
        void cancelled(JobStatus job);
    }

    private final String own;
    private final ShardState block;
    private final Consumer<StateWriter.BatchContributor> riding;
    private final Timers timers;
    private final CellMembership neighbours;
    private final WorkOffloading spill;
    private final CellQuery asking;
    private final Random random;
    private final Listener listener;
    private long sequence;
    private long lent;
    private long returned;

    /** By number: who waits to hear that its end is written. */
    private final Map<Long, List<Consumer<CellMessage>>> waiting = new HashMap<>();

    /** Jobs whose cancellation is under way, and the revision of the record that says so. */
    private final Map<String, Long> leaving = new HashMap<>();

    LentTasks(
            String own,
            ShardState block,
            Consumer<StateWriter.BatchContributor> riding,
            Timers timers,
            CellMembership neighbours,
            WorkOffloading spill,
            CellQuery asking,
            Random random,
            Listener listener) {
        this.own = own;
        this.block = block;
        this.riding = riding;
        this.timers = timers;
        this.neighbours = neighbours;
        this.spill = spill;
        this.asking = asking;
        this.random = random;
        this.listener = listener;
    }

    /** Loans made and loans that came to an end, since this node started. */
    long lent() {
        return lent;
    }

    long returned() {
        return returned;
    }

    /** Tasks that are lent now. */
    long tasksOut() {
        return block.jobs().values().stream()
                .flatMap(j -> j.loans().stream())
                .filter(l -> !l.closed)
                .mapToLong(TaskLoan::tasks)
                .sum();
    }

    // ---- what a new holder reads ----------------------------------------------------------------

    void adopt(StateLoader.LoadedState found, double now) {
        waiting.clear();
        leaving.clear();
        for (Entry x : found.lent()) {
            Job job = block.jobs().get(x.key().substring(StoreKeys.LENT.length()));
            if (job == null) {
                continue; // Came after the list of open jobs was read; everything is read once
                // more.
            }
            try {
                TaskLoan.read(x.value(), now).forEach(job::lend);
                job.lentRecorded(x.revision());
            } catch (InvalidInputException bad) {
                // Nothing of a job whose loans can't be told may be placed.
                job.leave();
                LOG.error("record {} is unreadable: {}", x.key(), bad.getMessage());
            }
        }
        found.leaving().forEach(this::leaving);
    }

    /** A record of {@link StoreKeys#LEAVE} came or went. */
    void leaving(Entry x) {
        String id = x.key().substring(StoreKeys.LEAVE.length());
        if (x.value() == null) {
            leaving.remove(id);
            return;
        }
        leaving.put(id, x.revision());
        Job job = block.jobs().get(id);
        if (job != null && !job.over() && !job.leaving()) {
            job.leave();
            new ArrayList<>(job.live().values()).forEach(a -> block.stop(a, 0));
            block.change();
            LOG.info(
                    "job {} is to be cancelled; {} loans are called back first",
                    id,
                    job.loans().size());
        }
    }

    // ---- lending --------------------------------------------------------------------------------

    private long nextNumber() {
        return (block.token() << BITS) + sequence + 1;
    }

    /** No number below this one is out to the cell any more, nor will be. */
    private long floor(String cell) {
        long least = nextNumber();
        for (Job j : block.jobs().values()) {
            for (TaskLoan l : j.loans()) {
                if (l.to.equals(cell)) {
                    least = Math.min(least, l.number);
                }
            }
        }
        return least;
    }

    /** How many loans to the cell are not settled. */
    private long out(String cell) {
        return block.jobs().values().stream()
                .flatMap(j -> j.loans().stream())
                .filter(l -> l.to.equals(cell))
                .count();
    }

    /** Writes the loan down; it is offered once that is in the store. */
    void lend(WorkOffloading.Plan p) {
        Job job = p.job();
        if (job.lentBusy()
                || out(p.to()) >= SequenceNumbers.MOST / 2
                || sequence + 2 >= 1L << BITS) {
            return;
        }
        TaskLoan loan =
                new TaskLoan(
                        (block.token() << BITS) + ++sequence,
                        p.to(),
                        p.from(),
                        p.until(),
                        timers.now());
        job.lend(loan);
        lent++;
        LOG.info(
                "lends {} tasks of {} from {} on to cell {} as {}: {}",
                loan.tasks(),
                job.spec.id(),
                loan.from,
                loan.to,
                loan.number,
                p.why());
        write(
                job,
                () -> {
                    loan.written = true;
                    tell(job, loan, timers.now());
                });
    }

    /** Writes what is lent of the job now; loans that are closed are left out of it. */
    private void write(Job job, Runnable then) {
        String id = job.spec.id();
        job.lentBusy(true);
        riding.accept(
                new StateWriter.BatchContributor() {
                    private List<TaskLoan> left;

                    @Override
                    public boolean wanted() {
                        if (job.over() || block.jobs().get(id) != job) {
                            job.lentBusy(false);
                            return false;
                        }
                        return true;
                    }

                    @Override
                    public void board(Store.Transaction t) {
                        left = job.loans().stream().filter(l -> !l.closed).toList();
                        t.when(job.key, job.revision())
                                .when(StoreKeys.LENT + id, job.lentRevision());
                        if (left.isEmpty()) {
                            t.remove(StoreKeys.LENT + id);
                        } else {
                            t.put(StoreKeys.LENT + id, TaskLoan.record(left));
                        }
                    }

                    @Override
                    public void written(long revision) {
                        job.lentBusy(false);
                        job.lentRecorded(left.isEmpty() ? 0 : revision);
                        then.run();
                    }
                });
    }

    // ---- telling the others ---------------------------------------------------------------------

    /** Everything that has to be said, written or given up now. */
    void tend(double now) {
        for (Job job : new ArrayList<>(block.jobs().values())) {
            if (job.over()) {
                continue;
            }
            for (TaskLoan l : new ArrayList<>(job.loans())) {
                if (l.written && !l.closed) {
                    tell(job, l, now);
                }
            }
            if (job.loans().stream().anyMatch(l -> l.closed)) {
                settle(job);
            }
            if (job.leaving() && job.loans().isEmpty() && leaving.containsKey(job.spec.id())) {
                cancel(job);
            }
        }
        for (String id : new ArrayList<>(leaving.keySet())) {
            if (!block.jobs().containsKey(id)) {
                stale(id);
            }
        }
    }

    private void tell(Job job, TaskLoan l, double now) {
        double mostS = block.facts().workers().leaseS();
        // What is taken is only looked after; what is called back or not taken yet is asked for.
        double dueS =
                l.taken && !job.leaving()
                        ? 2 * mostS
                        : RetryBackoff.againS(l.unanswered, 1, mostS, random);
        if (l.asking || now - l.askedAt < dueS && !(job.leaving() && l.unanswered == 0)) {
            return;
        }
        l.asking = true;
        l.askedAt = now;
        l.unanswered++;
        CellMessage m =
                job.leaving()
                        ? new LoanRecall(own, l.number, floor(l.to), true)
                        : new LoanOffer(
                                own,
                                l.number,
                                floor(l.to),
                                job.spec,
                                job.submittedMs,
                                l.from,
                                l.until,
                                job.nextAttempt());
        boolean first = !l.taken && l.unanswered == 1;
        asking.ask(
                l.to,
                m,
                answer -> {
                    l.asking = false;
                    RemoteCell n = neighbours.get(l.to);
                    if (first && n != null) {
                        n.unconfirmed = Math.max(0, n.unconfirmed - 1);
                    }
                    if (answer instanceof LoanStatus w && w.number() == l.number) {
                        said(w, x -> {});
                    }
                });
    }

    /**
     * The other cell's word on a loan. {@code answer}: gets {@link LoanSettled} once what follows
     * from it is written.
     */
    void said(LoanStatus w, Consumer<CellMessage> answer) {
        for (Job job : block.jobs().values()) {
            for (TaskLoan l : job.loans()) {
                if (l.number == w.number() && l.to.equals(w.cell())) {
                    said(job, l, w, answer);
                    return;
                }
            }
        }
        // Guards against a former holder that calls a loan of its successor settled, which it can't
        // know of.
        if (w.standing() != LoanState.TAKEN && w.number() < nextNumber()) {
            answer.accept(new LoanSettled(w.number(), floor(w.cell())));
        } else {
            answer.accept(null);
        }
    }

    private void said(Job job, TaskLoan l, LoanStatus w, Consumer<CellMessage> answer) {
        double now = timers.now();
        RemoteCell n = neighbours.get(l.to);
        if (!l.written) {
            answer.accept(null);
            return;
        }
        if (w.standing() == LoanState.TAKEN) {
            l.taken = true;
            l.unanswered = job.leaving() ? l.unanswered : 0;
            if (n != null) {
                n.accepted();
            }
            answer.accept(null);
            return;
        }
        waiting.computeIfAbsent(l.number, k -> new ArrayList<>()).add(answer);
        if (l.closed) {
            return;
        }
        BitSet done = BitSet.valueOf(w.done());
        job.close(l, done);
        for (int i = l.from; i < l.until; i++) {
            if (job.isDone(i)) {
                block.unwritten().queue(job.part(job.partOf(i)));
            }
        }
        job.attemptsFrom(w.next());
        block.change();
        if (n != null && w.standing() == LoanState.VOID) {
            n.refused(now, random);
        }
        if (w.standing() == LoanState.VOID || w.standing() == LoanState.BACK) {
            spill.gaveBack(job.spec.id(), l.to, now);
        }
        LOG.info(
                "loan {} of {} to cell {} is over after {} s: {}, {} of {} tasks done",
                l.number,
                job.spec.id(),
                l.to,
                Math.round(now - l.since),
                w.standing(),
                done.cardinality(),
                l.tasks());
        settle(job);
    }

    /**
     * Takes loans that are over out of the record, once what is done of them is in the records of
     * the job's parts. Guards against a crash in between after which done tasks would be run again.
     */
    private void settle(Job job) {
        if (job.lentBusy() || job.complete() && !job.leaving()) {
            return; // What is complete is written as done, its record of loans along with it.
        }
        for (TaskLoan l : job.loans()) {
            if (l.closed) {
                for (int p = job.partOf(l.from); p <= job.partOf(l.until - 1); p++) {
                    if (job.part(p).due()) {
                        return;
                    }
                }
            }
        }
        List<TaskLoan> over = job.loans().stream().filter(l -> l.closed).toList();
        write(job, () -> over.forEach(l -> settled(job, l)));
    }

    private void settled(Job job, TaskLoan l) {
        job.forget(l);
        returned++;
        String cell = l.to;
        List<Consumer<CellMessage>> who = waiting.remove(l.number);
        if (who != null) {
            who.forEach(x -> x.accept(new LoanSettled(l.number, floor(cell))));
        }
    }

    /** The job is done in the store, and its loans with it. */
    void over(Job job) {
        new ArrayList<>(job.loans()).forEach(l -> settled(job, l));
    }

    // ---- cancelling -----------------------------------------------------------------------------

    /**
     * Nothing of the job is out any more: it is written as cancelled, and its user is told so at
     * the next try.
     */
    private void cancel(Job job) {
        String id = job.spec.id();
        if (job.lentBusy()) {
            return;
        }
        job.lentBusy(true);
        long asked = leaving.get(id);
        riding.accept(
                new StateWriter.BatchContributor() {
                    @Override
                    public boolean wanted() {
                        boolean still =
                                !job.over() && job.loans().isEmpty() && leaving.containsKey(id);
                        if (!still) {
                            job.lentBusy(false);
                        }
                        return still;
                    }

                    @Override
                    public void board(Store.Transaction t) {
                        Map<String, Object> record =
                                job.record()
                                        .overMap(
                                                Map.of("status", "cancelled", "done", 0L),
                                                block.facts().store().valueBytes());
                        t.when(job.key, job.revision())
                                .when(StoreKeys.LENT + id, 0)
                                .when(StoreKeys.LEAVE + id, asked)
                                .remove(job.key)
                                .remove(StoreKeys.LEAVE + id)
                                .put(StoreKeys.OVER + id, record);
                    }

                    @Override
                    public void written(long revision) {
                        job.lentBusy(false);
                        leaving.remove(id);
                        block.jobOver(id);
                        listener.cancelled(new JobStatus(id, "cancelled", 0, 0));
                    }
                });
    }

    /** A wish to cancel a job that was over already. */
    private void stale(String id) {
        long asked = leaving.remove(id);
        riding.accept(
                new StateWriter.BatchContributor() {
                    @Override
                    public boolean wanted() {
                        return true;
                    }

                    @Override
                    public void board(Store.Transaction t) {
                        t.when(StoreKeys.LEAVE + id, asked).remove(StoreKeys.LEAVE + id);
                    }

                    @Override
                    public void written(long revision) {}
                });
    }
}
