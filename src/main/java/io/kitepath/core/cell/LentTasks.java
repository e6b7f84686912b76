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
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.shard.TaskLoan;
import io.kitepath.core.state.StateLoader;
import io.kitepath.core.state.StateWriter;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The home's side of loans. A loan is recorded before it is offered, and offered until the other
 * cell's store has an answer; only by that answer are its tasks the home's to place again, or done.
 * Its number is never given twice ({@link FencedSequence}). {@link BorrowedTasks} is the borrower's
 * side; docs/cells.md has the states and every crash between two writes.
 */
final class LentTasks {
    private static final Logger LOG = LoggerFactory.getLogger(LentTasks.class);

    /** Delay after the first offer or recall that has no answer. */
    private static final double FIRST_QUERY_DELAY_SECONDS = 1;

    /** Leases between two queries about a loan that the other cell has accepted. */
    private static final double ACCEPTED_QUERY_LEASES = 2;

    private final CellContext context;
    private final ShardState shard;
    private final CellMembership cellMembership;
    private final WorkOffloading workOffloading;
    private final JobCancellations cancellations;
    private final FencedSequence loanNumbers;

    /** Final statuses, by the loan's number. */
    private final PendingReplies<Long> pendingReplies = new PendingReplies<>();

    private long loansMade;
    private long loansReturned;

    /**
     * {@code onCancelled} is called when the store has it that a job of which a part was lent is
     * cancelled.
     */
    LentTasks(
            CellContext context,
            CellMembership cellMembership,
            WorkOffloading workOffloading,
            Consumer<JobStatus> onCancelled) {
        this.context = context;
        this.shard = context.shard();
        this.cellMembership = cellMembership;
        this.workOffloading = workOffloading;
        this.cancellations = new JobCancellations(context, onCancelled);
        this.loanNumbers = new FencedSequence(shard);
    }

    /** Loans made since this node started. */
    long loansMade() {
        return loansMade;
    }

    /** Loans that came to an end since this node started. */
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

    // ---- recovery after a change of leader ------------------------------------------------------

    /**
     * Replaces everything by what the store contains.
     *
     * @param now in seconds on the steady clock
     */
    void restore(StateLoader.LoadedState found, double now) {
        pendingReplies.clear();
        for (Entry entry : found.cellRecords().lentTasks()) {
            Job job = shard.jobs().get(entry.key().substring(StoreKeys.LENT_TASKS.length()));
            if (job != null) {
                restore(job, entry, now);
            }
            // Otherwise the record was written after the list of open jobs was read: everything is
            // read once more.
        }
        cancellations.restore(found);
    }

    private static void restore(Job job, Entry entry, double now) {
        try {
            TaskLoan.fromRecord(entry.value(), now).forEach(job::lend);
            job.setLoansRevision(entry.revision());
        } catch (InvalidInputException invalid) {
            // None of the tasks of a job whose loans are unknown may be placed.
            job.requestCancel();
            LOG.error("record unreadable key={}: {}", entry.key(), invalid.getMessage());
        }
    }

    /** A record of {@link StoreKeys#CANCELLATION_REQUESTS} was written or removed. */
    void onCancellationRequestChanged(Entry entry) {
        cancellations.onRequestChanged(entry);
    }

    // ---- lending --------------------------------------------------------------------------------

    /** No loan with a number below this one is open to the cell any more, nor will be. */
    private long lowestOpenNumber(String cell) {
        long lowest = loanNumbers.peekNext();
        for (Job job : shard.jobs().values()) {
            for (TaskLoan loan : job.loans()) {
                if (loan.borrowerCell.equals(cell)) {
                    lowest = Math.min(lowest, loan.number);
                }
            }
        }
        return lowest;
    }

    /** How many loans to the cell are not settled. */
    private long openLoans(String cell) {
        return shard.jobs().values().stream()
                .flatMap(job -> job.loans().stream())
                .filter(loan -> loan.borrowerCell.equals(cell))
                .count();
    }

    /** Records a loan and offers it once the record is committed. */
    void lend(WorkOffloading.Plan plan) {
        Job job = plan.job();
        if (job.isWritingLoans()
                || openLoans(plan.targetCell()) >= SequenceNumbers.MAX_LISTED / 2
                || loanNumbers.isExhausted()) {
            return;
        }
        TaskLoan loan =
                new TaskLoan(
                        loanNumbers.next(),
                        plan.targetCell(),
                        plan.firstTask(),
                        plan.endTask(),
                        context.timers().nowSeconds());
        job.lend(loan);
        loansMade++;
        LOG.info(
                "loan made loan={} borrower={} job={} firstTask={} tasks={}: {}",
                loan.number,
                loan.borrowerCell,
                job.spec.id(),
                loan.firstTask,
                loan.taskCount(),
                plan.reason());
        write(
                job,
                () -> {
                    loan.isRecorded = true;
                    offerOrRecall(job, loan, context.timers().nowSeconds());
                });
    }

    private void write(Job job, Runnable afterCommit) {
        job.setWritingLoans(true);
        context.batchQueue().accept(new WriteLoans(job, afterCommit));
    }

    // ---- offers and recalls ---------------------------------------------------------------------

    /**
     * Offers, recalls and settles loans, and finishes cancellations, as far as that is due.
     *
     * @param now in seconds on the steady clock
     */
    void reconcile(double now) {
        for (Job job : new ArrayList<>(shard.jobs().values())) {
            if (!job.isFinished()) {
                reconcile(job, now);
            }
        }
        cancellations.removeStale();
    }

    private void reconcile(Job job, double now) {
        for (TaskLoan loan : new ArrayList<>(job.loans())) {
            if (loan.isRecorded && !loan.isClosed) {
                offerOrRecall(job, loan, now);
            }
        }
        if (job.loans().stream().anyMatch(loan -> loan.isClosed)) {
            settle(job);
        }
        cancellations.finishIfReturned(job);
    }

    private void offerOrRecall(Job job, TaskLoan loan, double now) {
        if (!isQueryDue(job, loan, now)) {
            return;
        }
        loan.isAwaitingResponse = true;
        loan.lastQueriedAt = now;
        loan.queriesWithoutResponse++;
        boolean isFirstOffer = !loan.isAccepted && loan.queriesWithoutResponse == 1;
        context.cellQuery()
                .ask(
                        loan.borrowerCell,
                        job.isCancelRequested() ? recallOf(loan) : offerOf(job, loan),
                        answer -> onQueryAnswer(loan, isFirstOffer, answer));
    }

    private boolean isQueryDue(Job job, TaskLoan loan, double now) {
        double leaseSeconds = context.leaseSeconds();
        // An accepted loan is only checked on now and then; an offer or a recall needs its answer.
        // The random number is drawn even if an answer is awaited: repeatable runs depend on it.
        double delaySeconds =
                loan.isAccepted && !job.isCancelRequested()
                        ? ACCEPTED_QUERY_LEASES * leaseSeconds
                        : RetryBackoff.delaySeconds(
                                loan.queriesWithoutResponse,
                                FIRST_QUERY_DELAY_SECONDS,
                                leaseSeconds,
                                context.random());
        if (loan.isAwaitingResponse) {
            return false;
        }
        boolean isFirstRecall = job.isCancelRequested() && loan.queriesWithoutResponse == 0;
        return isFirstRecall || !(now - loan.lastQueriedAt < delaySeconds);
    }

    private LoanRecall recallOf(TaskLoan loan) {
        return new LoanRecall(
                context.ownCell(), loan.number, lowestOpenNumber(loan.borrowerCell), true);
    }

    private LoanOffer offerOf(Job job, TaskLoan loan) {
        return new LoanOffer(
                context.ownCell(),
                loan.number,
                lowestOpenNumber(loan.borrowerCell),
                job.spec,
                job.submittedMillis,
                loan.firstTask,
                loan.endTask,
                job.nextAttempt());
    }

    private void onQueryAnswer(TaskLoan loan, boolean isFirstOffer, CellMessage answer) {
        loan.isAwaitingResponse = false;
        RemoteCell remote = cellMembership.get(loan.borrowerCell);
        if (isFirstOffer && remote != null) {
            remote.onFirstOfferEnded();
        }
        if (answer instanceof LoanStatus status && status.loanNumber() == loan.number) {
            onStatus(status, reply -> {});
        }
    }

    // ---- statuses from borrowers ----------------------------------------------------------------

    /**
     * Handles the borrower's status of a loan.
     *
     * @param reply gets {@link LoanSettled} once the end of the loan is recorded here, or null if
     *     the status is not final
     */
    void onStatus(LoanStatus status, Consumer<CellMessage> reply) {
        for (Job job : shard.jobs().values()) {
            for (TaskLoan loan : job.loans()) {
                if (loan.number == status.loanNumber() && loan.borrowerCell.equals(status.cell())) {
                    onStatus(job, loan, status, reply);
                    return;
                }
            }
        }
        // A former leader must not call a loan of its successor settled, which it can't know of.
        boolean isOwnNumber = status.loanNumber() < loanNumbers.peekNext();
        if (status.state() != LoanState.TAKEN && isOwnNumber) {
            reply.accept(new LoanSettled(status.loanNumber(), lowestOpenNumber(status.cell())));
        } else {
            reply.accept(null);
        }
    }

    private void onStatus(Job job, TaskLoan loan, LoanStatus status, Consumer<CellMessage> reply) {
        if (!loan.isRecorded) {
            reply.accept(null);
        } else if (status.state() == LoanState.TAKEN) {
            onAccepted(job, loan);
            reply.accept(null);
        } else {
            pendingReplies.add(loan.number, reply);
            if (!loan.isClosed) {
                close(job, loan, status);
                settle(job);
            }
        }
    }

    private void onAccepted(Job job, TaskLoan loan) {
        loan.isAccepted = true;
        if (!job.isCancelRequested()) {
            loan.queriesWithoutResponse = 0;
        }
        RemoteCell remote = cellMembership.get(loan.borrowerCell);
        if (remote != null) {
            remote.onAccepted();
        }
    }

    /** Takes the result of the loan over into the job. */
    private void close(Job job, TaskLoan loan, LoanStatus status) {
        double now = context.timers().nowSeconds();
        BitSet done = BitSet.valueOf(status.doneTasks());
        job.closeLoan(loan, done);
        for (int task = loan.firstTask; task < loan.endTask; task++) {
            if (job.isDone(task)) {
                shard.dirtyParts().enqueueIfDirty(job.part(job.partIndexOf(task)));
            }
        }
        job.raiseNextAttempt(status.nextAttempt());
        shard.requestScheduling();
        RemoteCell remote = cellMembership.get(loan.borrowerCell);
        if (remote != null && status.state() == LoanState.VOID) {
            remote.onRefused(now, context.random());
        }
        if (status.state() == LoanState.VOID || status.state() == LoanState.BACK) {
            workOffloading.onReturned(job.spec.id(), loan.borrowerCell, now);
        }
        LOG.info(
                "loan closed loan={} borrower={} job={} state={} doneTasks={} tasks={} seconds={}",
                loan.number,
                loan.borrowerCell,
                job.spec.id(),
                status.state(),
                done.cardinality(),
                loan.taskCount(),
                Math.round(now - loan.offeredAt));
    }

    // ---- settling -------------------------------------------------------------------------------

    /**
     * Removes closed loans from the record once their done tasks are in the records of the job's
     * parts. In the other order, a crash in between would make done tasks run again.
     */
    private void settle(Job job) {
        if (job.isWritingLoans() || job.areAllTasksDone() && !job.isCancelRequested()) {
            return; // A complete job is recorded as done, its record of loans along with it.
        }
        List<TaskLoan> closed = job.loans().stream().filter(loan -> loan.isClosed).toList();
        if (closed.stream().noneMatch(loan -> hasDirtyPart(job, loan))) {
            write(job, () -> closed.forEach(loan -> onSettled(job, loan)));
        }
    }

    private static boolean hasDirtyPart(Job job, TaskLoan loan) {
        int lastPart = job.partIndexOf(loan.endTask - 1);
        for (int part = job.partIndexOf(loan.firstTask); part <= lastPart; part++) {
            if (job.part(part).isDirty()) {
                return true;
            }
        }
        return false;
    }

    private void onSettled(Job job, TaskLoan loan) {
        job.removeLoan(loan);
        loansReturned++;
        pendingReplies.complete(
                loan.number,
                () -> new LoanSettled(loan.number, lowestOpenNumber(loan.borrowerCell)));
    }

    /** The job is recorded as done, and with that the end of its loans. */
    void onJobDone(Job job) {
        new ArrayList<>(job.loans()).forEach(loan -> onSettled(job, loan));
    }

    /** Writes the one record of a job's loans, without those that are closed. */
    private final class WriteLoans implements StateWriter.BatchContributor {
        private final Job job;
        private final String key;
        private final Runnable afterCommit;
        private List<TaskLoan> openLoans = List.of();

        WriteLoans(Job job, Runnable afterCommit) {
            this.job = job;
            this.key = StoreKeys.LENT_TASKS + job.spec.id();
            this.afterCommit = afterCommit;
        }

        @Override
        public boolean isStillWanted() {
            if (job.isFinished() || shard.jobs().get(job.spec.id()) != job) {
                job.setWritingLoans(false);
                return false;
            }
            return true;
        }

        @Override
        public void contributeTo(Store.Transaction transaction) {
            openLoans = job.loans().stream().filter(loan -> !loan.isClosed).toList();
            transaction
                    .requireRevision(job.recordKey, job.revision())
                    .requireRevision(key, job.loansRevision());
            if (openLoans.isEmpty()) {
                transaction.remove(key);
            } else {
                transaction.put(key, TaskLoan.toRecord(openLoans));
            }
        }

        @Override
        public void onCommitted(long revision) {
            job.setWritingLoans(false);
            job.setLoansRevision(openLoans.isEmpty() ? 0 : revision);
            afterCommit.run();
        }
    }
}
