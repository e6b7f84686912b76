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
        final int from;
        final int until;
        final double since;
        LoanState standing = LoanState.TAKEN;
        byte[] done = new byte[0];
        long next;
        long revision;
        Job job;

        /** Its end is being written. */
        boolean ending;

        boolean settled;
        boolean forgetting;
        boolean telling;
        int untold;
        double toldAt = Double.NEGATIVE_INFINITY;

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
            this.from = from;
            this.until = until;
            this.next = next;
            this.since = since;
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
            m.put("from", (long) from);
            m.put("until", (long) until);
            m.put("next", next);
            m.put("standing", standing.name());
            m.put("done", Base64.getEncoder().encodeToString(done));
            return m;
        }
    }

    private final String own;
    private final ShardState shard;
    private final Consumer<StateWriter.BatchContributor> riding;
    private final Timers timers;
    private final CellQuery asking;
    private final Random random;

    /** By key. */
    private final Map<String, BorrowedLoan> guests = new LinkedHashMap<>();

    private final Map<String, SequenceNumbers> numbers = new HashMap<>();

    /** Offers and recalls whose answer is being written, by key. */
    private final Map<String, List<Consumer<CellMessage>>> answering = new HashMap<>();

    private boolean draining;
    private long taken;
    private long refused;

    BorrowedTasks(
            String own,
            ShardState shard,
            Consumer<StateWriter.BatchContributor> riding,
            Timers timers,
            CellQuery asking,
            Random random) {
        this.own = own;
        this.shard = shard;
        this.riding = riding;
        this.timers = timers;
        this.asking = asking;
        this.random = random;
    }

    long taken() {
        return taken;
    }

    long refused() {
        return refused;
    }

    /** Tasks of other cells that are this one's to run. */
    long tasksHere() {
        return guests.values().stream()
                .filter(borrowed -> borrowed.standing == LoanState.TAKEN)
                .mapToLong(borrowed -> borrowed.until - borrowed.from)
                .sum();
    }

    /** Whether the cell takes nothing more, and gives back what has not begun. */
    void drain(boolean so) {
        draining = so;
    }

    boolean draining() {
        return draining;
    }

    // ---- what a new holder reads ----------------------------------------------------------------

    void adopt(StateLoader.LoadedState found, double now) {
        guests.clear();
        numbers.clear();
        answering.clear();
        for (Entry entry : found.voidedNumbers()) {
            numbers.put(
                    entry.key().substring(StoreKeys.VOIDED_NUMBERS.length()),
                    SequenceNumbers.read(entry.value(), entry.revision()));
        }
        for (Entry entry : found.borrowedTasks()) {
            try {
                adopt(entry, now);
            } catch (InvalidInputException | IllegalArgumentException bad) {
                LOG.error("record {} is unreadable: {}", entry.key(), bad.getMessage());
            }
        }
    }

    private void adopt(Entry entry, double now) {
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
        borrowed.standing = LoanState.valueOf(document.text("standing"));
        borrowed.done = Base64.getDecoder().decode(document.text("done"));
        borrowed.revision = entry.revision();
        guests.put(borrowed.key(), borrowed);
        Job job = job(borrowed);
        borrowed.job = job;
        if (borrowed.standing == LoanState.TAKEN) {
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
                        borrowed.from,
                        borrowed.until);
        job.raiseNextAttempt(borrowed.next);
        return job;
    }

    private SequenceNumbers numbers(String home, long floor) {
        SequenceNumbers n = numbers.computeIfAbsent(home, key -> new SequenceNumbers());
        n.raise(floor);
        return n;
    }

    private LoanStatus word(BorrowedLoan borrowed) {
        return new LoanStatus(
                own, borrowed.number, borrowed.standing, borrowed.done, borrowed.next);
    }

    private LoanStatus nothing(long number) {
        return new LoanStatus(own, number, LoanState.VOID, new byte[0], 0);
    }

    // ---- what homes say -------------------------------------------------------------------------

    /** {@code roomFor}: whether such work is welcome. */
    void offered(LoanOffer offer, boolean roomFor, Consumer<CellMessage> answer) {
        String key = StoreKeys.borrowedTasksKey(offer.homeCell(), offer.loanNumber());
        BorrowedLoan known = guests.get(key);
        SequenceNumbers numbers = numbers(offer.homeCell(), offer.lowestOpenNumber());
        if (known != null) {
            answer.accept(known.ending ? null : word(known));
        } else if (numbers.isVoid(offer.loanNumber())) {
            answer.accept(nothing(offer.loanNumber()));
        } else if (answering.containsKey(key)) {
            answering.get(key).add(answer);
        } else if (numbers.full() || shard.jobs().containsKey(offer.spec().id())) {
            // Something of it is still being cleared away here; asked again, there will be an
            // answer.
            answer.accept(null);
        } else if (!roomFor || draining) {
            refused++;
            makeVoid(offer.homeCell(), offer.loanNumber(), answer);
        } else {
            take(offer, key, answer);
        }
    }

    private void take(LoanOffer offer, String key, Consumer<CellMessage> answer) {
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
        answering.put(key, new ArrayList<>(List.of(answer)));
        riding.accept(
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
                        taken++;
                        guests.put(key, borrowed);
                        borrowed.job = job(borrowed);
                        shard.addJob(borrowed.job);
                        LOG.info(
                                "takes {} tasks of {} from {} on, of cell {} as {}",
                                borrowed.until - borrowed.from,
                                borrowed.spec.id(),
                                borrowed.from,
                                borrowed.home,
                                borrowed.number);
                        answer(key, word(borrowed));
                    }
                });
    }

    private void answer(String key, CellMessage with) {
        List<Consumer<CellMessage>> who = answering.remove(key);
        if (who != null) {
            who.forEach(x -> x.accept(with));
        }
    }

    /**
     * Nothing was taken under that number, and from now on nothing can be: only then the home is
     * told so.
     */
    private void makeVoid(String home, long number, Consumer<CellMessage> answer) {
        String key = StoreKeys.borrowedTasksKey(home, number);
        answering.put(key, new ArrayList<>(List.of(answer)));
        riding.accept(new VoidNumber(home, number, null, () -> answer(key, nothing(number))));
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
            transaction.writes().removeIf(write -> write.key().equals(StoreKeys.VOIDED_NUMBERS + home));
            transaction.put(StoreKeys.VOIDED_NUMBERS + home, numbers.record());
            if (borrowed != null) {
                transaction.requireRevision(borrowed.key(), borrowed.revision).remove(borrowed.key());
            }
        }

        @Override
        public void onCommitted(long revision) {
            numbers(home, 0).recorded(revision);
            if (borrowed != null) {
                guests.remove(borrowed.key());
            }
            then.run();
        }
    }

    void recalled(LoanRecall r, Consumer<CellMessage> answer) {
        String key = StoreKeys.borrowedTasksKey(r.homeCell(), r.loanNumber());
        BorrowedLoan borrowed = guests.get(key);
        SequenceNumbers numbers = numbers(r.homeCell(), r.lowestOpenNumber());
        if (borrowed != null && borrowed.ending) {
            // Its end is not written yet. Guards against a word that a crash would take back.
            answer.accept(null);
        } else if (borrowed != null && borrowed.standing != LoanState.TAKEN) {
            answer.accept(word(borrowed));
        } else if (borrowed != null) {
            if (r.kill() || borrowed.job.liveAttempts().isEmpty()) {
                answering.computeIfAbsent(key, k -> new ArrayList<>()).add(answer);
                end(
                        borrowed,
                        borrowed.job.areAllTasksDone()
                                ? LoanState.DONE
                                : r.kill() ? LoanState.KILLED : LoanState.BACK);
            } else {
                answer.accept(null);
            }
        } else if (numbers.isVoid(r.loanNumber())) {
            answer.accept(nothing(r.loanNumber()));
        } else if (answering.containsKey(key) || numbers.full()) {
            answer.accept(null); // An offer is just being taken.
        } else {
            makeVoid(r.homeCell(), r.loanNumber(), answer);
        }
    }

    // ---- ends -----------------------------------------------------------------------------------

    /**
     * From now on nothing more of it is placed here; what is on machines ends if the loan was
     * stopped for good.
     */
    private void end(BorrowedLoan borrowed, LoanState as) {
        borrowed.ending = true;
        borrowed.job.requestCancel();
        if (as == LoanState.KILLED) {
            new ArrayList<>(borrowed.job.liveAttempts().values())
                    .forEach(attempt -> shard.stopAttempt(attempt, 0));
        }
        riding.accept(
                new StateWriter.BatchContributor() {
                    @Override
                    public boolean isStillWanted() {
                        return guests.get(borrowed.key()) == borrowed;
                    }

                    @Override
                    public void contributeTo(Store.Transaction transaction) {
                        borrowed.standing = as;
                        borrowed.done = borrowed.job.doneBitsOf(borrowed.from, borrowed.until);
                        borrowed.next = borrowed.job.nextAttempt();
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
                                borrowed.until - borrowed.from,
                                borrowed.spec.id());
                        answer(borrowed.key(), word(borrowed));
                        tell(borrowed, timers.nowSeconds());
                    }
                });
    }

    /** Everything that has to be said, written or given back now. */
    void tend(double now) {
        double lease = shard.settings().workers().leaseSeconds();
        for (BorrowedLoan borrowed : new ArrayList<>(guests.values())) {
            if (borrowed.ending) {
                continue;
            }
            if (borrowed.standing != LoanState.TAKEN) {
                if (!borrowed.settled) {
                    tell(borrowed, now);
                } else if (!borrowed.forgetting
                        && shard.jobs().get(borrowed.spec.id()) != borrowed.job) {
                    borrowed.forgetting = true; // Nothing of it is left in the records of parts.
                    riding.accept(
                            new VoidNumber(borrowed.home, borrowed.number, borrowed, () -> {}));
                }
            } else if (borrowed.job.areAllTasksDone()) {
                end(borrowed, LoanState.DONE);
            } else if (borrowed.job.liveAttempts().isEmpty()
                    && (draining || now - borrowed.since > lease)) {
                end(
                        borrowed,
                        LoanState.BACK); // Nothing of it was placed for so long that its home had
                // better try elsewhere.
            }
        }
    }

    private void tell(BorrowedLoan borrowed, double now) {
        double mostS = shard.settings().workers().leaseSeconds();
        if (borrowed.telling
                || now - borrowed.toldAt
                        < RetryBackoff.againS(borrowed.untold, 0.5, mostS, random)) {
            return;
        }
        borrowed.telling = true;
        borrowed.toldAt = now;
        borrowed.untold++;
        asking.ask(
                borrowed.home,
                word(borrowed),
                answer -> {
                    borrowed.telling = false;
                    if (answer instanceof LoanSettled s && s.loanNumber() == borrowed.number) {
                        borrowed.settled = true;
                        numbers(borrowed.home, s.lowestOpenNumber());
                    }
                });
    }
}
