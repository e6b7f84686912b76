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
    private static final int SEQUENCE_BITS = 20;

    /** What of this the rest of the cell has to know. */
    interface Listener {
        /** Our store has it that the job, part of which was lent, is cancelled. */
        void cancelled(JobStatus job);
    }

    private final String ownCell;
    private final ShardState shard;
    private final Consumer<StateWriter.BatchContributor> batchQueue;
    private final Timers timers;
    private final CellMembership cellMembership;
    private final WorkOffloading workOffloading;
    private final CellQuery cellQuery;
    private final Random random;
    private final Listener listener;
    private long sequence;
    private long loansMade;
    private long loansReturned;

    /** By number: who waits to hear that its end is written. */
    private final Map<Long, List<Consumer<CellMessage>>> waiting = new HashMap<>();

    /** Jobs whose cancellation is under way, and the revision of the record that says so. */
    private final Map<String, Long> cancelling = new HashMap<>();

    LentTasks(
            String own,
            ShardState shard,
            Consumer<StateWriter.BatchContributor> riding,
            Timers timers,
            CellMembership cellMembership,
            WorkOffloading workOffloading,
            CellQuery asking,
            Random random,
            Listener listener) {
        this.ownCell = own;
        this.shard = shard;
        this.batchQueue = riding;
        this.timers = timers;
        this.cellMembership = cellMembership;
        this.workOffloading = workOffloading;
        this.cellQuery = asking;
        this.random = random;
        this.listener = listener;
    }

    /** Loans made and loans that came to an end, since this node started. */
    long loansMade() {
        return loansMade;
    }

    long loansReturned() {
        return loansReturned;
    }

    /** Tasks that are lent now. */
    long lentTaskCount() {
        return shard.jobs().values().stream()
                .flatMap(job -> job.loans().stream())
                .filter(loan -> !loan.isClosed)
                .mapToLong(TaskLoan::taskCount)
                .sum();
    }

    // ---- what a new holder reads ----------------------------------------------------------------

    void restore(StateLoader.LoadedState found, double now) {
        waiting.clear();
        cancelling.clear();
        for (Entry entry : found.cellRecords().lentTasks()) {
            Job job = shard.jobs().get(entry.key().substring(StoreKeys.LENT_TASKS.length()));
            if (job == null) {
                continue; // Came after the list of open jobs was read; everything is read once
                // more.
            }
            try {
                TaskLoan.fromRecord(entry.value(), now).forEach(job::lend);
                job.setLoansRevision(entry.revision());
            } catch (InvalidInputException invalid) {
                // Nothing of a job whose loans can't be told may be placed.
                job.requestCancel();
                LOG.error("record {} is unreadable: {}", entry.key(), invalid.getMessage());
            }
        }
        found.cellRecords().cancellationRequests().forEach(this::cancelling);
    }

    /** A record of {@link StoreKeys#CANCELLATION_REQUESTS} came or went. */
    void cancelling(Entry entry) {
        String id = entry.key().substring(StoreKeys.CANCELLATION_REQUESTS.length());
        if (entry.value() == null) {
            cancelling.remove(id);
            return;
        }
        cancelling.put(id, entry.revision());
        Job job = shard.jobs().get(id);
        if (job != null && !job.isFinished() && !job.isCancelRequested()) {
            job.requestCancel();
            new ArrayList<>(job.liveAttempts().values())
                    .forEach(attempt -> shard.stopAttempt(attempt, 0));
            shard.requestScheduling();
            LOG.info(
                    "job {} is to be cancelled; {} loans are called back first",
                    id,
                    job.loans().size());
        }
    }

    // ---- lending --------------------------------------------------------------------------------

    private long nextNumber() {
        return (shard.fencingToken() << SEQUENCE_BITS) + sequence + 1;
    }

    /** No number below this one is out to the cell any more, nor will be. */
    private long floor(String cell) {
        long least = nextNumber();
        for (Job job : shard.jobs().values()) {
            for (TaskLoan loan : job.loans()) {
                if (loan.borrowerCell.equals(cell)) {
                    least = Math.min(least, loan.number);
                }
            }
        }
        return least;
    }

    /** How many loans to the cell are not settled. */
    private long openLoans(String cell) {
        return shard.jobs().values().stream()
                .flatMap(job -> job.loans().stream())
                .filter(loan -> loan.borrowerCell.equals(cell))
                .count();
    }

    /** Writes the loan down; it is offered once that is in the store. */
    void lend(WorkOffloading.Plan p) {
        Job job = p.job();
        if (job.writingLoans()
                || openLoans(p.targetCell()) >= SequenceNumbers.MAX_LISTED / 2
                || sequence + 2 >= 1L << SEQUENCE_BITS) {
            return;
        }
        TaskLoan loan =
                new TaskLoan(
                        (shard.fencingToken() << SEQUENCE_BITS) + ++sequence,
                        p.targetCell(),
                        p.firstTask(),
                        p.endTask(),
                        timers.nowSeconds());
        job.lend(loan);
        loansMade++;
        LOG.info(
                "lends {} tasks of {} from {} on to cell {} as {}: {}",
                loan.taskCount(),
                job.spec.id(),
                loan.firstTask,
                loan.borrowerCell,
                loan.number,
                p.reason());
        write(
                job,
                () -> {
                    loan.isRecorded = true;
                    offerOrRecall(job, loan, timers.nowSeconds());
                });
    }

    /** Writes what is lent of the job now; loans that are closed are left out of it. */
    private void write(Job job, Runnable then) {
        String id = job.spec.id();
        job.writingLoans(true);
        batchQueue.accept(
                new StateWriter.BatchContributor() {
                    private List<TaskLoan> left;

                    @Override
                    public boolean isStillWanted() {
                        if (job.isFinished() || shard.jobs().get(id) != job) {
                            job.writingLoans(false);
                            return false;
                        }
                        return true;
                    }

                    @Override
                    public void contributeTo(Store.Transaction transaction) {
                        left = job.loans().stream().filter(loan -> !loan.isClosed).toList();
                        transaction
                                .requireRevision(job.recordKey, job.revision())
                                .requireRevision(StoreKeys.LENT_TASKS + id, job.loansRevision());
                        if (left.isEmpty()) {
                            transaction.remove(StoreKeys.LENT_TASKS + id);
                        } else {
                            transaction.put(StoreKeys.LENT_TASKS + id, TaskLoan.toRecord(left));
                        }
                    }

                    @Override
                    public void onCommitted(long revision) {
                        job.writingLoans(false);
                        job.setLoansRevision(left.isEmpty() ? 0 : revision);
                        then.run();
                    }
                });
    }

    // ---- telling the others ---------------------------------------------------------------------

    /** Everything that has to be said, written or given up now. */
    void reconcile(double now) {
        for (Job job : new ArrayList<>(shard.jobs().values())) {
            if (job.isFinished()) {
                continue;
            }
            for (TaskLoan loan : new ArrayList<>(job.loans())) {
                if (loan.isRecorded && !loan.isClosed) {
                    offerOrRecall(job, loan, now);
                }
            }
            if (job.loans().stream().anyMatch(loan -> loan.isClosed)) {
                settle(job);
            }
            if (job.isCancelRequested()
                    && job.loans().isEmpty()
                    && cancelling.containsKey(job.spec.id())) {
                cancel(job);
            }
        }
        for (String id : new ArrayList<>(cancelling.keySet())) {
            if (!shard.jobs().containsKey(id)) {
                removeStaleCancellation(id);
            }
        }
    }

    private void offerOrRecall(Job job, TaskLoan loan, double now) {
        double mostS = shard.settings().workers().leaseSeconds();
        // What is taken is only looked after; what is called back or not taken yet is asked for.
        double dueS =
                loan.isAccepted && !job.isCancelRequested()
                        ? 2 * mostS
                        : RetryBackoff.delaySeconds(loan.unansweredQueries, 1, mostS, random);
        if (loan.isAwaitingAnswer
                || now - loan.lastQueriedAt < dueS
                        && !(job.isCancelRequested() && loan.unansweredQueries == 0)) {
            return;
        }
        loan.isAwaitingAnswer = true;
        loan.lastQueriedAt = now;
        loan.unansweredQueries++;
        CellMessage m =
                job.isCancelRequested()
                        ? new LoanRecall(ownCell, loan.number, floor(loan.borrowerCell), true)
                        : new LoanOffer(
                                ownCell,
                                loan.number,
                                floor(loan.borrowerCell),
                                job.spec,
                                job.submittedMillis,
                                loan.firstTask,
                                loan.endTask,
                                job.nextAttempt());
        boolean first = !loan.isAccepted && loan.unansweredQueries == 1;
        cellQuery.ask(
                loan.borrowerCell,
                m,
                answer -> {
                    loan.isAwaitingAnswer = false;
                    RemoteCell remote = cellMembership.get(loan.borrowerCell);
                    if (first && remote != null) {
                        remote.unconfirmed = Math.max(0, remote.unconfirmed - 1);
                    }
                    if (answer instanceof LoanStatus status && status.loanNumber() == loan.number) {
                        onStatus(status, x -> {});
                    }
                });
    }

    /**
     * The other cell's word on a loan. {@code answer}: gets {@link LoanSettled} once what follows
     * from it is written.
     */
    void onStatus(LoanStatus status, Consumer<CellMessage> answer) {
        for (Job job : shard.jobs().values()) {
            for (TaskLoan loan : job.loans()) {
                if (loan.number == status.loanNumber() && loan.borrowerCell.equals(status.cell())) {
                    onStatus(job, loan, status, answer);
                    return;
                }
            }
        }
        // Guards against a former holder that calls a loan of its successor settled, which it can't
        // know of.
        if (status.state() != LoanState.TAKEN && status.loanNumber() < nextNumber()) {
            answer.accept(new LoanSettled(status.loanNumber(), floor(status.cell())));
        } else {
            answer.accept(null);
        }
    }

    private void onStatus(Job job, TaskLoan loan, LoanStatus status, Consumer<CellMessage> answer) {
        double now = timers.nowSeconds();
        RemoteCell remote = cellMembership.get(loan.borrowerCell);
        if (!loan.isRecorded) {
            answer.accept(null);
            return;
        }
        if (status.state() == LoanState.TAKEN) {
            loan.isAccepted = true;
            loan.unansweredQueries = job.isCancelRequested() ? loan.unansweredQueries : 0;
            if (remote != null) {
                remote.onAccepted();
            }
            answer.accept(null);
            return;
        }
        waiting.computeIfAbsent(loan.number, k -> new ArrayList<>()).add(answer);
        if (loan.isClosed) {
            return;
        }
        BitSet done = BitSet.valueOf(status.doneTasks());
        job.closeLoan(loan, done);
        for (int i = loan.firstTask; i < loan.endTask; i++) {
            if (job.isDone(i)) {
                shard.dirtyParts().enqueueIfDirty(job.part(job.partOf(i)));
            }
        }
        job.raiseNextAttempt(status.nextAttempt());
        shard.requestScheduling();
        if (remote != null && status.state() == LoanState.VOID) {
            remote.onRefused(now, random);
        }
        if (status.state() == LoanState.VOID || status.state() == LoanState.BACK) {
            workOffloading.onReturned(job.spec.id(), loan.borrowerCell, now);
        }
        LOG.info(
                "loan {} of {} to cell {} is over after {} s: {}, {} of {} tasks done",
                loan.number,
                job.spec.id(),
                loan.borrowerCell,
                Math.round(now - loan.offeredAt),
                status.state(),
                done.cardinality(),
                loan.taskCount());
        settle(job);
    }

    /**
     * Takes loans that are over out of the record, once what is done of them is in the records of
     * the job's parts. Guards against a crash in between after which done tasks would be run again.
     */
    private void settle(Job job) {
        if (job.writingLoans() || job.areAllTasksDone() && !job.isCancelRequested()) {
            return; // What is complete is written as done, its record of loans along with it.
        }
        for (TaskLoan loan : job.loans()) {
            if (loan.isClosed) {
                for (int p = job.partOf(loan.firstTask); p <= job.partOf(loan.endTask - 1); p++) {
                    if (job.part(p).isDirty()) {
                        return;
                    }
                }
            }
        }
        List<TaskLoan> over = job.loans().stream().filter(loan -> loan.isClosed).toList();
        write(job, () -> over.forEach(loan -> settled(job, loan)));
    }

    private void settled(Job job, TaskLoan loan) {
        job.forgetLoan(loan);
        loansReturned++;
        String cell = loan.borrowerCell;
        List<Consumer<CellMessage>> who = waiting.remove(loan.number);
        if (who != null) {
            who.forEach(x -> x.accept(new LoanSettled(loan.number, floor(cell))));
        }
    }

    /** The job is done in the store, and its loans with it. */
    void over(Job job) {
        new ArrayList<>(job.loans()).forEach(loan -> settled(job, loan));
    }

    // ---- cancelling -----------------------------------------------------------------------------

    /**
     * Nothing of the job is out any more: it is written as cancelled, and its user is told so at
     * the next try.
     */
    private void cancel(Job job) {
        String id = job.spec.id();
        if (job.writingLoans()) {
            return;
        }
        job.writingLoans(true);
        long asked = cancelling.get(id);
        batchQueue.accept(
                new StateWriter.BatchContributor() {
                    @Override
                    public boolean isStillWanted() {
                        boolean still =
                                !job.isFinished()
                                        && job.loans().isEmpty()
                                        && cancelling.containsKey(id);
                        if (!still) {
                            job.writingLoans(false);
                        }
                        return still;
                    }

                    @Override
                    public void contributeTo(Store.Transaction transaction) {
                        Map<String, Object> record =
                                job.record()
                                        .toFinishedRecord(
                                                Map.of("status", "cancelled", "done", 0L),
                                                shard.settings().store().maxValueBytes());
                        transaction
                                .requireRevision(job.recordKey, job.revision())
                                .requireRevision(StoreKeys.LENT_TASKS + id, 0)
                                .requireRevision(StoreKeys.CANCELLATION_REQUESTS + id, asked)
                                .remove(job.recordKey)
                                .remove(StoreKeys.CANCELLATION_REQUESTS + id)
                                .put(StoreKeys.ENDED_JOBS + id, record);
                    }

                    @Override
                    public void onCommitted(long revision) {
                        job.writingLoans(false);
                        cancelling.remove(id);
                        shard.finishJob(id);
                        listener.cancelled(new JobStatus(id, "cancelled", 0, 0));
                    }
                });
    }

    /** A wish to cancel a job that was over already. */
    private void removeStaleCancellation(String id) {
        long asked = cancelling.remove(id);
        batchQueue.accept(
                new StateWriter.BatchContributor() {
                    @Override
                    public boolean isStillWanted() {
                        return true;
                    }

                    @Override
                    public void contributeTo(Store.Transaction transaction) {
                        transaction
                                .requireRevision(StoreKeys.CANCELLATION_REQUESTS + id, asked)
                                .remove(StoreKeys.CANCELLATION_REQUESTS + id);
                    }

                    @Override
                    public void onCommitted(long revision) {}
                });
    }
}
