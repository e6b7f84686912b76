package io.kitepath.core.cell;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CellMessage.LoanOffer;
import io.kitepath.core.model.CellMessage.LoanRecall;
import io.kitepath.core.model.CellMessage.LoanSettled;
import io.kitepath.core.model.CellMessage.LoanState;
import io.kitepath.core.model.CellMessage.LoanStatus;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateLoader;
import io.kitepath.core.state.StateWriter;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The other side of loans: what this cell has taken from others. A loan is written before anything
 * of it is placed, its end is written before it is said, and it is forgotten once its home has
 * written that too. An offer that comes twice finds the record of the first; one that comes after
 * the end finds its number void.
 */
final class BorrowedTasks {
    private static final Logger LOG = LoggerFactory.getLogger(BorrowedTasks.class);

    /** One loan, as its record says and beyond. */
    private static final class BorrowedLoan {
        final String home;
        final long number;
        final JobSpec spec;
        final double submittedMs;
        final int firstTask;
        final int endTask;
        final double borrowedAt;
        LoanState state = LoanState.TAKEN;
        byte[] done = new byte[0];
        long nextAttempt;
        long revision;
        Job job;

        /** Its end is being written. */
        boolean ending;

        boolean settled;
        boolean forgetting;
        boolean reporting;
        int unansweredReports;
        double reportedAt = Double.NEGATIVE_INFINITY;

        BorrowedLoan(
                String home,
                long number,
                JobSpec spec,
                double submittedMs,
                int from,
                int until,
                long next,
                double since) {
            this.home = home;
            this.number = number;
            this.spec = spec;
            this.submittedMs = submittedMs;
            this.firstTask = from;
            this.endTask = until;
            this.nextAttempt = next;
            this.borrowedAt = since;
        }

        String key() {
            return StoreKeys.borrowedTasksKey(home, number);
        }

        Map<String, Object> record() {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("job", spec.id());
            m.put("home", home);
            m.put("number", number);
            m.put("spec", spec.toRecord());
            m.put("submittedMs", submittedMs);
            m.put("from", (long) firstTask);
            m.put("until", (long) endTask);
            m.put("next", nextAttempt);
            m.put("standing", state.name());
            m.put("done", Base64.getEncoder().encodeToString(done));
            return m;
        }
    }

    private final String ownCell;
    private final ShardState shard;
    private final Consumer<StateWriter.BatchContributor> batchQueue;
    private final Timers timers;
    private final CellQuery cellQuery;
    private final Random random;

    /** By key. */
    private final Map<String, BorrowedLoan> loans = new LinkedHashMap<>();

    private final Map<String, SequenceNumbers> numbers = new HashMap<>();

    /** Offers and recalls whose answer is being written, by key. */
    private final Map<String, List<Consumer<CellMessage>>> pendingReplies = new HashMap<>();

    private boolean isDraining;
    private long loansTaken;
    private long loansRefused;

    BorrowedTasks(
            String own,
            ShardState shard,
            Consumer<StateWriter.BatchContributor> riding,
            Timers timers,
            CellQuery asking,
            Random random) {
        this.ownCell = own;
        this.shard = shard;
        this.batchQueue = riding;
        this.timers = timers;
        this.cellQuery = asking;
        this.random = random;
    }

    long loansTaken() {
        return loansTaken;
    }

    long loansRefused() {
        return loansRefused;
    }

    /** Tasks of other cells that are this one's to run. */
    long borrowedTaskCount() {
        return loans.values().stream()
                .filter(borrowed -> borrowed.state == LoanState.TAKEN)
                .mapToLong(borrowed -> borrowed.endTask - borrowed.firstTask)
                .sum();
    }

    /** Whether the cell takes nothing more, and gives back what has not begun. */
    void setDraining(boolean so) {
        isDraining = so;
    }

    boolean isDraining() {
        return isDraining;
    }

    // ---- what a new holder reads ----------------------------------------------------------------

    void restore(StateLoader.LoadedState found, double now) {
        loans.clear();
        numbers.clear();
        pendingReplies.clear();
        for (Entry entry : found.cellRecords().voidedNumbers()) {
            numbers.put(
                    entry.key().substring(StoreKeys.VOIDED_NUMBERS.length()),
                    SequenceNumbers.read(entry.value(), entry.revision()));
        }
        for (Entry entry : found.cellRecords().borrowedTasks()) {
            try {
                restore(entry, now);
            } catch (InvalidInputException | IllegalArgumentException bad) {
                LOG.error("record {} is unreadable: {}", entry.key(), bad.getMessage());
            }
        }
    }

    private void restore(Entry entry, double now) {
        DocumentReader document = DocumentReader.of(entry.value());
        JobSpec spec = JobSpec.fromRecord(document.text("job"), document.raw("spec"));
        BorrowedLoan borrowed =
                new BorrowedLoan(
                        document.text("home"),
                        document.count("number"),
                        spec,
                        document.number("submittedMs", 0),
                        (int) document.integer("from", 0, spec.taskCount()),
                        (int) document.integer("until", 0, spec.taskCount()),
                        document.count("next"),
                        now);
        borrowed.state = LoanState.valueOf(document.text("standing"));
        borrowed.done = Base64.getDecoder().decode(document.text("done"));
        borrowed.revision = entry.revision();
        loans.put(borrowed.key(), borrowed);
        Job job = job(borrowed);
        borrowed.job = job;
        if (borrowed.state == LoanState.TAKEN) {
            shard.addJob(job);
        } else {
            shard.addFinishedJob(job);
        }
    }

    private Job job(BorrowedLoan borrowed) {
        Job job =
                Job.borrowed(
                        borrowed.spec,
                        borrowed.submittedMs,
                        shard.settings().startDeadlinesSeconds(borrowed.spec),
                        borrowed.key(),
                        borrowed.revision,
                        shard.tasksPerPart(),
                        borrowed.firstTask,
                        borrowed.endTask);
        job.raiseNextAttempt(borrowed.nextAttempt);
        return job;
    }

    private SequenceNumbers numbers(String home, long floor) {
        SequenceNumbers n = numbers.computeIfAbsent(home, key -> new SequenceNumbers());
        n.raiseFloor(floor);
        return n;
    }

    private LoanStatus statusOf(BorrowedLoan borrowed) {
        return new LoanStatus(
                ownCell, borrowed.number, borrowed.state, borrowed.done, borrowed.nextAttempt);
    }

    private LoanStatus voidStatus(long number) {
        return new LoanStatus(ownCell, number, LoanState.VOID, new byte[0], 0);
    }

    // ---- what homes say -------------------------------------------------------------------------

    /** {@code roomFor}: whether such work is welcome. */
    void onOffer(LoanOffer offer, boolean roomFor, Consumer<CellMessage> answer) {
        String key = StoreKeys.borrowedTasksKey(offer.homeCell(), offer.loanNumber());
        BorrowedLoan known = loans.get(key);
        SequenceNumbers numbers = numbers(offer.homeCell(), offer.lowestOpenNumber());
        if (known != null) {
            answer.accept(known.ending ? null : statusOf(known));
        } else if (numbers.isVoid(offer.loanNumber())) {
            answer.accept(voidStatus(offer.loanNumber()));
        } else if (pendingReplies.containsKey(key)) {
            pendingReplies.get(key).add(answer);
        } else if (numbers.isFull() || shard.jobs().containsKey(offer.spec().id())) {
            // Something of it is still being cleared away here; asked again, there will be an
            // answer.
            answer.accept(null);
        } else if (!roomFor || isDraining) {
            loansRefused++;
            recordVoid(offer.homeCell(), offer.loanNumber(), answer);
        } else {
            accept(offer, key, answer);
        }
    }

    private void accept(LoanOffer offer, String key, Consumer<CellMessage> answer) {
        BorrowedLoan borrowed =
                new BorrowedLoan(
                        offer.homeCell(),
                        offer.loanNumber(),
                        offer.spec(),
                        offer.submittedMillis(),
                        offer.firstTask(),
                        offer.endTask(),
                        offer.nextAttempt(),
                        timers.nowSeconds());
        pendingReplies.put(key, new ArrayList<>(List.of(answer)));
        batchQueue.accept(
                new StateWriter.BatchContributor() {
                    @Override
                    public boolean isStillWanted() {
                        return true;
                    }

                    @Override
                    public void contributeTo(Store.Transaction transaction) {
                        transaction
                                .requireRevision(key, 0)
                                .requireRevision(
                                        StoreKeys.VOIDED_NUMBERS + borrowed.home,
                                        numbers(borrowed.home, 0).revision())
                                .put(key, borrowed.record());
                    }

                    @Override
                    public void onCommitted(long revision) {
                        borrowed.revision = revision;
                        loansTaken++;
                        loans.put(key, borrowed);
                        borrowed.job = job(borrowed);
                        shard.addJob(borrowed.job);
                        LOG.info(
                                "takes {} tasks of {} from {} on, of cell {} as {}",
                                borrowed.endTask - borrowed.firstTask,
                                borrowed.spec.id(),
                                borrowed.firstTask,
                                borrowed.home,
                                borrowed.number);
                        reply(key, statusOf(borrowed));
                    }
                });
    }

    private void reply(String key, CellMessage with) {
        List<Consumer<CellMessage>> who = pendingReplies.remove(key);
        if (who != null) {
            who.forEach(x -> x.accept(with));
        }
    }

    /**
     * Nothing was taken under that number, and from now on nothing can be: only then the home is
     * told so.
     */
    private void recordVoid(String home, long number, Consumer<CellMessage> answer) {
        String key = StoreKeys.borrowedTasksKey(home, number);
        pendingReplies.put(key, new ArrayList<>(List.of(answer)));
        batchQueue.accept(new VoidNumber(home, number, null, () -> reply(key, voidStatus(number))));
    }

    /** Writes that a number is void, and forgets the loan that was taken under it, if one was. */
    private final class VoidNumber implements StateWriter.BatchContributor {
        private final String home;
        private final long number;
        private final BorrowedLoan borrowed;
        private final Runnable then;

        VoidNumber(String home, long number, BorrowedLoan borrowed, Runnable then) {
            this.home = home;
            this.number = number;
            this.borrowed = borrowed;
            this.then = then;
        }

        @Override
        public boolean isStillWanted() {
            return true;
        }

        @Override
        public void contributeTo(Store.Transaction transaction) {
            SequenceNumbers numbers = numbers(home, 0);
            numbers.add(number);
            // Two of these in one transaction write the same record: the last one has it all.
            transaction.requireRevision(StoreKeys.VOIDED_NUMBERS + home, numbers.revision());
            transaction
                    .writes()
                    .removeIf(write -> write.key().equals(StoreKeys.VOIDED_NUMBERS + home));
            transaction.put(StoreKeys.VOIDED_NUMBERS + home, numbers.record());
            if (borrowed != null) {
                transaction
                        .requireRevision(borrowed.key(), borrowed.revision)
                        .remove(borrowed.key());
            }
        }

        @Override
        public void onCommitted(long revision) {
            numbers(home, 0).recorded(revision);
            if (borrowed != null) {
                loans.remove(borrowed.key());
            }
            then.run();
        }
    }

    void onRecall(LoanRecall r, Consumer<CellMessage> answer) {
        String key = StoreKeys.borrowedTasksKey(r.homeCell(), r.loanNumber());
        BorrowedLoan borrowed = loans.get(key);
        SequenceNumbers numbers = numbers(r.homeCell(), r.lowestOpenNumber());
        if (borrowed != null && borrowed.ending) {
            // Its end is not written yet. Guards against a word that a crash would take back.
            answer.accept(null);
        } else if (borrowed != null && borrowed.state != LoanState.TAKEN) {
            answer.accept(statusOf(borrowed));
        } else if (borrowed != null) {
            if (r.kill() || borrowed.job.liveAttempts().isEmpty()) {
                pendingReplies.computeIfAbsent(key, k -> new ArrayList<>()).add(answer);
                beginEnd(
                        borrowed,
                        borrowed.job.areAllTasksDone()
                                ? LoanState.DONE
                                : r.kill() ? LoanState.KILLED : LoanState.BACK);
            } else {
                answer.accept(null);
            }
        } else if (numbers.isVoid(r.loanNumber())) {
            answer.accept(voidStatus(r.loanNumber()));
        } else if (pendingReplies.containsKey(key) || numbers.isFull()) {
            answer.accept(null); // An offer is just being taken.
        } else {
            recordVoid(r.homeCell(), r.loanNumber(), answer);
        }
    }

    // ---- ends -----------------------------------------------------------------------------------

    /**
     * From now on nothing more of it is placed here; what is on machines ends if the loan was
     * stopped for good.
     */
    private void beginEnd(BorrowedLoan borrowed, LoanState as) {
        borrowed.ending = true;
        borrowed.job.requestCancel();
        if (as == LoanState.KILLED) {
            new ArrayList<>(borrowed.job.liveAttempts().values())
                    .forEach(attempt -> shard.stopAttempt(attempt, 0));
        }
        batchQueue.accept(
                new StateWriter.BatchContributor() {
                    @Override
                    public boolean isStillWanted() {
                        return loans.get(borrowed.key()) == borrowed;
                    }

                    @Override
                    public void contributeTo(Store.Transaction transaction) {
                        borrowed.state = as;
                        borrowed.done =
                                borrowed.job.doneBitsOf(borrowed.firstTask, borrowed.endTask);
                        borrowed.nextAttempt = borrowed.job.nextAttempt();
                        transaction
                                .requireRevision(borrowed.key(), borrowed.revision)
                                .put(borrowed.key(), borrowed.record());
                    }

                    @Override
                    public void onCommitted(long revision) {
                        borrowed.ending = false;
                        borrowed.revision = revision;
                        shard.finishJob(borrowed.spec.id());
                        LOG.info(
                                "loan {} of cell {} is over: {}, {} of {} tasks of {} done",
                                borrowed.number,
                                borrowed.home,
                                as,
                                BitSet.valueOf(borrowed.done).cardinality(),
                                borrowed.endTask - borrowed.firstTask,
                                borrowed.spec.id());
                        reply(borrowed.key(), statusOf(borrowed));
                        reportStatus(borrowed, timers.nowSeconds());
                    }
                });
    }

    /** Everything that has to be said, written or given back now. */
    void reconcile(double now) {
        double lease = shard.settings().workers().leaseSeconds();
        for (BorrowedLoan borrowed : new ArrayList<>(loans.values())) {
            if (borrowed.ending) {
                continue;
            }
            if (borrowed.state != LoanState.TAKEN) {
                if (!borrowed.settled) {
                    reportStatus(borrowed, now);
                } else if (!borrowed.forgetting
                        && shard.jobs().get(borrowed.spec.id()) != borrowed.job) {
                    borrowed.forgetting = true; // Nothing of it is left in the records of parts.
                    batchQueue.accept(
                            new VoidNumber(borrowed.home, borrowed.number, borrowed, () -> {}));
                }
            } else if (borrowed.job.areAllTasksDone()) {
                beginEnd(borrowed, LoanState.DONE);
            } else if (borrowed.job.liveAttempts().isEmpty()
                    && (isDraining || now - borrowed.borrowedAt > lease)) {
                beginEnd(
                        borrowed,
                        LoanState.BACK); // Nothing of it was placed for so long that its home had
                // better try elsewhere.
            }
        }
    }

    private void reportStatus(BorrowedLoan borrowed, double now) {
        double mostS = shard.settings().workers().leaseSeconds();
        if (borrowed.reporting
                || now - borrowed.reportedAt
                        < RetryBackoff.delaySeconds(
                                borrowed.unansweredReports, 0.5, mostS, random)) {
            return;
        }
        borrowed.reporting = true;
        borrowed.reportedAt = now;
        borrowed.unansweredReports++;
        cellQuery.ask(
                borrowed.home,
                statusOf(borrowed),
                answer -> {
                    borrowed.reporting = false;
                    if (answer instanceof LoanSettled s && s.loanNumber() == borrowed.number) {
                        borrowed.settled = true;
                        numbers(borrowed.home, s.lowestOpenNumber());
                    }
                });
    }
}
