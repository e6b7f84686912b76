package io.kitepath.core.cell;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CellMessage.LoanOffer;
import io.kitepath.core.model.CellMessage.LoanRecall;
import io.kitepath.core.model.CellMessage.LoanSettled;
import io.kitepath.core.model.CellMessage.LoanState;
import io.kitepath.core.model.CellMessage.LoanStatus;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateLoader;
import io.kitepath.core.state.StateWriter;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The borrower's side of loans: tasks of other cells' jobs that this cell has accepted. A loan is
 * recorded before any of its tasks is placed, its end is recorded before its home is told, and its
 * record is removed once the home has recorded the end too. A repeated offer finds the record of
 * the first; one that arrives after the end finds its number void. {@link LentTasks} is the home's
 * side; docs/cells.md describes the protocol.
 */
final class BorrowedTasks {
    private static final Logger LOG = LoggerFactory.getLogger(BorrowedTasks.class);

    /** Delay after the first report of an end that has no answer. */
    private static final double FIRST_REPORT_DELAY_SECONDS = 0.5;

    private final CellContext context;
    private final ShardState shard;

    /** By the key of its record. */
    private final Map<String, BorrowedLoan> loans = new LinkedHashMap<>();

    private final VoidedNumbers voidedNumbers = new VoidedNumbers("");

    /** Offers and recalls, by the key of the loan's record. */
    private final PendingReplies<String> pendingReplies = new PendingReplies<>();

    private boolean isDraining;
    private long loansTaken;
    private long loansRefused;

    BorrowedTasks(CellContext context) {
        this.context = context;
        this.shard = context.shard();
    }

    /** Loans accepted since this node started. */
    long loansTaken() {
        return loansTaken;
    }

    /** Offers refused since this node started. */
    long loansRefused() {
        return loansRefused;
    }

    /** Tasks of other cells that are this one's to run. */
    long borrowedTaskCount() {
        return loans.values().stream()
                .filter(loan -> loan.state == LoanState.TAKEN)
                .mapToLong(BorrowedLoan::taskCount)
                .sum();
    }

    /** Whether the cell accepts no more loans, and gives back those of which nothing has begun. */
    void setDraining(boolean draining) {
        isDraining = draining;
    }

    boolean isDraining() {
        return isDraining;
    }

    // ---- recovery after a change of leader ------------------------------------------------------

    /**
     * Replaces everything by what the store contains.
     *
     * @param now in seconds on the steady clock
     */
    void restore(StateLoader.LoadedState found, double now) {
        loans.clear();
        pendingReplies.clear();
        voidedNumbers.restore(found.cellRecords().voidedNumbers());
        for (Entry entry : found.cellRecords().borrowedTasks()) {
            try {
                restore(entry, now);
            } catch (InvalidInputException | IllegalArgumentException invalid) {
                LOG.error("record unreadable: key={} reason={}", entry.key(), invalid.getMessage());
            }
        }
    }

    private void restore(Entry entry, double now) {
        BorrowedLoan loan = BorrowedLoan.fromEntry(entry, now);
        loans.put(loan.key(), loan);
        loan.job = newJob(loan);
        if (loan.state == LoanState.TAKEN) {
            shard.addJob(loan.job);
        } else {
            shard.addFinishedJob(loan.job);
        }
    }

    private Job newJob(BorrowedLoan loan) {
        LoanOffer offer = loan.offer;
        Job job =
                Job.borrowed(
                        offer.spec(),
                        offer.submittedMillis(),
                        shard.settings().startDeadlinesSeconds(offer.spec()),
                        loan.key(),
                        loan.revision,
                        shard.tasksPerPart(),
                        offer.firstTask(),
                        offer.endTask());
        job.raiseNextAttempt(loan.nextAttempt);
        return job;
    }

    private SequenceNumbers raiseFloor(String home, long lowestOpenNumber) {
        SequenceNumbers numbers = voidedNumbers.of(home);
        numbers.raiseFloor(lowestOpenNumber);
        return numbers;
    }

    private LoanStatus statusOf(BorrowedLoan loan) {
        return loan.statusFrom(context.ownCell());
    }

    private LoanStatus voidStatus(long number) {
        return new LoanStatus(context.ownCell(), number, LoanState.VOID, new byte[0], 0);
    }

    // ---- messages of homes ----------------------------------------------------------------------

    /**
     * Answers an offer, as a rule once the answer is recorded.
     *
     * @param hasRoom whether the cell has machines free for such tasks
     * @param reply gets the loan's status, or null if the offer should be repeated later
     */
    void onOffer(LoanOffer offer, boolean hasRoom, Consumer<CellMessage> reply) {
        String key = StoreKeys.borrowedTasksKey(offer.homeCell(), offer.loanNumber());
        BorrowedLoan known = loans.get(key);
        SequenceNumbers numbers = raiseFloor(offer.homeCell(), offer.lowestOpenNumber());
        if (known != null) {
            reply.accept(known.isEnding ? null : statusOf(known));
        } else if (numbers.isVoid(offer.loanNumber())) {
            reply.accept(voidStatus(offer.loanNumber()));
        } else if (pendingReplies.contains(key)) {
            pendingReplies.add(key, reply);
        } else if (numbers.isFull() || shard.jobs().containsKey(offer.spec().id())) {
            // Records of an earlier loan are still being removed here; a repeated offer will get
            // an answer.
            reply.accept(null);
        } else if (!hasRoom || isDraining) {
            loansRefused++;
            recordVoid(offer.homeCell(), offer.loanNumber(), reply);
        } else {
            pendingReplies.add(key, reply);
            BorrowedLoan loan = new BorrowedLoan(offer, context.timers().nowSeconds());
            context.batchQueue().accept(new AcceptLoan(loan));
        }
    }

    /** Answers a recall: with the loan's status once it is over, with null as long as it is not. */
    void onRecall(LoanRecall recall, Consumer<CellMessage> reply) {
        String key = StoreKeys.borrowedTasksKey(recall.homeCell(), recall.loanNumber());
        BorrowedLoan loan = loans.get(key);
        SequenceNumbers numbers = raiseFloor(recall.homeCell(), recall.lowestOpenNumber());
        if (loan != null) {
            recall(loan, recall.kill(), reply);
        } else if (numbers.isVoid(recall.loanNumber())) {
            reply.accept(voidStatus(recall.loanNumber()));
        } else if (pendingReplies.contains(key) || numbers.isFull()) {
            reply.accept(null); // An offer is just being accepted.
        } else {
            recordVoid(recall.homeCell(), recall.loanNumber(), reply);
        }
    }

    private void recall(BorrowedLoan loan, boolean kill, Consumer<CellMessage> reply) {
        if (loan.isEnding) {
            // Its end is not committed yet, and a crash would take the answer back.
            reply.accept(null);
        } else if (loan.state != LoanState.TAKEN) {
            reply.accept(statusOf(loan));
        } else if (kill || loan.job.liveAttempts().isEmpty()) {
            pendingReplies.add(loan.key(), reply);
            LoanState unfinished = kill ? LoanState.KILLED : LoanState.BACK;
            beginEnd(loan, loan.job.areAllTasksDone() ? LoanState.DONE : unfinished);
        } else {
            reply.accept(null);
        }
    }

    private void reply(String key, LoanStatus status) {
        pendingReplies.complete(key, () -> status);
    }

    /**
     * Records that the number is void. Nothing was accepted under it, and the home may be told so
     * only when nothing can be any more.
     */
    private void recordVoid(String home, long number, Consumer<CellMessage> reply) {
        String key = StoreKeys.borrowedTasksKey(home, number);
        pendingReplies.add(key, reply);
        context.batchQueue()
                .accept(new VoidNumber(home, number, () -> reply(key, voidStatus(number))));
    }

    // ---- ends -----------------------------------------------------------------------------------

    /** From now on none of its tasks is placed; those that run are stopped only if it is killed. */
    private void beginEnd(BorrowedLoan loan, LoanState finalState) {
        loan.isEnding = true;
        loan.job.requestCancel();
        if (finalState == LoanState.KILLED) {
            new ArrayList<>(loan.job.liveAttempts().values())
                    .forEach(attempt -> shard.stopAttempt(attempt, 0));
        }
        context.batchQueue().accept(new EndLoan(loan, finalState));
    }

    /**
     * Ends, reports and forgets loans as far as that is due.
     *
     * @param now in seconds on the steady clock
     */
    void reconcile(double now) {
        for (BorrowedLoan loan : new ArrayList<>(loans.values())) {
            if (loan.isEnding) {
                continue;
            }
            if (loan.state == LoanState.TAKEN) {
                endIfDue(loan, now);
            } else if (!loan.isSettled) {
                reportEnd(loan, now);
            } else {
                forgetIfUnused(loan);
            }
        }
    }

    private void endIfDue(BorrowedLoan loan, double now) {
        if (loan.job.areAllTasksDone()) {
            beginEnd(loan, LoanState.DONE);
            return;
        }
        // After a lease in which none of its tasks was placed, its home had better try elsewhere.
        boolean isOverdue = isDraining || now - loan.borrowedAt > context.leaseSeconds();
        if (loan.job.liveAttempts().isEmpty() && isOverdue) {
            beginEnd(loan, LoanState.BACK);
        }
    }

    private void reportEnd(BorrowedLoan loan, double now) {
        if (!loan.report.tryBegin(now, FIRST_REPORT_DELAY_SECONDS, context)) {
            return;
        }
        context.cellQuery()
                .ask(
                        loan.home(),
                        statusOf(loan),
                        answer -> {
                            loan.report.onAnswer();
                            if (answer instanceof LoanSettled settled
                                    && settled.loanNumber() == loan.number()) {
                                loan.isSettled = true;
                                raiseFloor(loan.home(), settled.lowestOpenNumber());
                            }
                        });
    }

    /** Removes the loan's record when nothing of its job is left in the records of job parts. */
    private void forgetIfUnused(BorrowedLoan loan) {
        if (!loan.isBeingForgotten && shard.jobs().get(loan.jobId()) != loan.job) {
            loan.isBeingForgotten = true;
            context.batchQueue().accept(new ForgetLoan(loan));
        }
    }

    // ---- writes ---------------------------------------------------------------------------------

    /** Records an accepted loan; after that its tasks may be placed. */
    private final class AcceptLoan implements StateWriter.BatchContributor {
        private final BorrowedLoan loan;

        AcceptLoan(BorrowedLoan loan) {
            this.loan = loan;
        }

        @Override
        public boolean isStillWanted() {
            return true;
        }

        @Override
        public void contributeTo(Store.Transaction transaction) {
            transaction.requireRevision(loan.key(), 0);
            voidedNumbers.requireUnchanged(transaction, loan.home());
            transaction.put(loan.key(), loan.toRecord());
        }

        @Override
        public void onCommitted(long revision) {
            loan.revision = revision;
            loansTaken++;
            loans.put(loan.key(), loan);
            loan.job = newJob(loan);
            shard.addJob(loan.job);
            LOG.info(
                    "loan accepted loan={} home={} job={} firstTask={} tasks={}",
                    loan.number(),
                    loan.home(),
                    loan.jobId(),
                    loan.offer.firstTask(),
                    loan.taskCount());
            reply(loan.key(), statusOf(loan));
        }
    }

    /** Records a loan's final state; after that its home may be told. */
    private final class EndLoan implements StateWriter.BatchContributor {
        private final BorrowedLoan loan;
        private final LoanState finalState;

        EndLoan(BorrowedLoan loan, LoanState finalState) {
            this.loan = loan;
            this.finalState = finalState;
        }

        @Override
        public boolean isStillWanted() {
            return loans.get(loan.key()) == loan;
        }

        @Override
        public void contributeTo(Store.Transaction transaction) {
            loan.state = finalState;
            loan.doneTasks = loan.job.doneBitsOf(loan.offer.firstTask(), loan.offer.endTask());
            loan.nextAttempt = loan.job.nextAttempt();
            transaction.requireRevision(loan.key(), loan.revision).put(loan.key(), loan.toRecord());
        }

        @Override
        public void onCommitted(long revision) {
            loan.isEnding = false;
            loan.revision = revision;
            shard.finishJob(loan.jobId());
            LOG.info(
                    "loan ended loan={} home={} job={} state={} doneTasks={} tasks={}",
                    loan.number(),
                    loan.home(),
                    loan.jobId(),
                    finalState,
                    BitSet.valueOf(loan.doneTasks).cardinality(),
                    loan.taskCount());
            reply(loan.key(), statusOf(loan));
            reportEnd(loan, context.timers().nowSeconds());
        }
    }

    /** Records that nothing can be accepted under a number any more. */
    private class VoidNumber implements StateWriter.BatchContributor {
        private final String home;
        private final long number;
        private final Runnable afterCommit;

        VoidNumber(String home, long number, Runnable afterCommit) {
            this.home = home;
            this.number = number;
            this.afterCommit = afterCommit;
        }

        @Override
        public boolean isStillWanted() {
            return true;
        }

        @Override
        public void contributeTo(Store.Transaction transaction) {
            voidedNumbers.of(home).add(number);
            voidedNumbers.contributeTo(transaction, home);
        }

        @Override
        public void onCommitted(long revision) {
            voidedNumbers.onCommitted(home, revision);
            afterCommit.run();
        }
    }

    /** Makes the number of a loan void and removes the loan's record, in one transaction. */
    private final class ForgetLoan extends VoidNumber {
        private final BorrowedLoan loan;

        ForgetLoan(BorrowedLoan loan) {
            super(loan.home(), loan.number(), () -> loans.remove(loan.key()));
            this.loan = loan;
        }

        @Override
        public void contributeTo(Store.Transaction transaction) {
            super.contributeTo(transaction);
            transaction.requireRevision(loan.key(), loan.revision).remove(loan.key());
        }
    }
}
