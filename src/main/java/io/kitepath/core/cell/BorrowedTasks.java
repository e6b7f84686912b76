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
            return StoreKeys.guest(home, number);
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
    private final ShardState block;
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
            ShardState block,
            Consumer<StateWriter.BatchContributor> riding,
            Timers timers,
            CellQuery asking,
            Random random) {
        this.own = own;
        this.block = block;
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
                .filter(g -> g.standing == LoanState.TAKEN)
                .mapToLong(g -> g.until - g.from)
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
        for (Entry x : found.voids()) {
            numbers.put(
                    x.key().substring(StoreKeys.VOID.length()),
                    SequenceNumbers.read(x.value(), x.revision()));
        }
        for (Entry x : found.guests()) {
            try {
                adopt(x, now);
            } catch (InvalidInputException | IllegalArgumentException bad) {
                LOG.error("record {} is unreadable: {}", x.key(), bad.getMessage());
            }
        }
    }

    private void adopt(Entry x, double now) {
        DocumentReader t = DocumentReader.of(x.value());
        JobSpec spec = JobSpec.fromRecord(t.text("job"), t.raw("spec"));
        BorrowedLoan g =
                new BorrowedLoan(
                        t.text("home"),
                        t.count("number"),
                        spec,
                        t.number("submittedMs", 0),
                        (int) t.integer("from", 0, spec.tasks()),
                        (int) t.integer("until", 0, spec.tasks()),
                        t.count("next"),
                        now);
        g.standing = LoanState.valueOf(t.text("standing"));
        g.done = Base64.getDecoder().decode(t.text("done"));
        g.revision = x.revision();
        guests.put(g.key(), g);
        Job job = job(g);
        g.job = job;
        if (g.standing == LoanState.TAKEN) {
            block.addJob(job);
        } else {
            block.addOver(job);
        }
    }

    private Job job(BorrowedLoan g) {
        Job job =
                Job.guest(
                        g.spec,
                        g.submittedMs,
                        block.facts().startWithinS(g.spec),
                        g.key(),
                        g.revision,
                        block.partTasks(),
                        g.from,
                        g.until);
        job.attemptsFrom(g.next);
        return job;
    }

    private SequenceNumbers numbers(String home, long floor) {
        SequenceNumbers n = numbers.computeIfAbsent(home, k -> new SequenceNumbers());
        n.raise(floor);
        return n;
    }

    private LoanStatus word(BorrowedLoan g) {
        return new LoanStatus(own, g.number, g.standing, g.done, g.next);
    }

    private LoanStatus nothing(long number) {
        return new LoanStatus(own, number, LoanState.VOID, new byte[0], 0);
    }

    // ---- what homes say -------------------------------------------------------------------------

    /** {@code roomFor}: whether such work is welcome. */
    void offered(LoanOffer o, boolean roomFor, Consumer<CellMessage> answer) {
        String key = StoreKeys.guest(o.home(), o.number());
        BorrowedLoan known = guests.get(key);
        SequenceNumbers n = numbers(o.home(), o.floor());
        if (known != null) {
            answer.accept(known.ending ? null : word(known));
        } else if (n.isVoid(o.number())) {
            answer.accept(nothing(o.number()));
        } else if (answering.containsKey(key)) {
            answering.get(key).add(answer);
        } else if (n.full() || block.jobs().containsKey(o.job().id())) {
            // Something of it is still being cleared away here; asked again, there will be an
            // answer.
            answer.accept(null);
        } else if (!roomFor || draining) {
            refused++;
            makeVoid(o.home(), o.number(), answer);
        } else {
            take(o, key, answer);
        }
    }

    private void take(LoanOffer o, String key, Consumer<CellMessage> answer) {
        BorrowedLoan g =
                new BorrowedLoan(
                        o.home(),
                        o.number(),
                        o.job(),
                        o.submittedMs(),
                        o.from(),
                        o.until(),
                        o.next(),
                        timers.now());
        answering.put(key, new ArrayList<>(List.of(answer)));
        riding.accept(
                new StateWriter.BatchContributor() {
                    @Override
                    public boolean wanted() {
                        return true;
                    }

                    @Override
                    public void board(Store.Transaction t) {
                        t.when(key, 0)
                                .when(StoreKeys.VOID + g.home, numbers(g.home, 0).revision())
                                .put(key, g.record());
                    }

                    @Override
                    public void written(long revision) {
                        g.revision = revision;
                        taken++;
                        guests.put(key, g);
                        g.job = job(g);
                        block.addJob(g.job);
                        LOG.info(
                                "takes {} tasks of {} from {} on, of cell {} as {}",
                                g.until - g.from,
                                g.spec.id(),
                                g.from,
                                g.home,
                                g.number);
                        answer(key, word(g));
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
        String key = StoreKeys.guest(home, number);
        answering.put(key, new ArrayList<>(List.of(answer)));
        riding.accept(new VoidNumber(home, number, null, () -> answer(key, nothing(number))));
    }

    /** Writes that a number is void, and forgets the loan that was taken under it, if one was. */
    private final class VoidNumber implements StateWriter.BatchContributor {
        private final String home;
        private final long number;
        private final BorrowedLoan of;
        private final Runnable then;

        VoidNumber(String home, long number, BorrowedLoan of, Runnable then) {
            this.home = home;
            this.number = number;
            this.of = of;
            this.then = then;
        }

        @Override
        public boolean wanted() {
            return true;
        }

        @Override
        public void board(Store.Transaction t) {
            SequenceNumbers n = numbers(home, 0);
            n.add(number);
            // Two of these in one transaction write the same record: the last one has it all.
            t.when(StoreKeys.VOID + home, n.revision());
            t.writes().removeIf(w -> w.key().equals(StoreKeys.VOID + home));
            t.put(StoreKeys.VOID + home, n.record());
            if (of != null) {
                t.when(of.key(), of.revision).remove(of.key());
            }
        }

        @Override
        public void written(long revision) {
            numbers(home, 0).recorded(revision);
            if (of != null) {
                guests.remove(of.key());
            }
            then.run();
        }
    }

    void recalled(LoanRecall r, Consumer<CellMessage> answer) {
        String key = StoreKeys.guest(r.home(), r.number());
        BorrowedLoan g = guests.get(key);
        SequenceNumbers n = numbers(r.home(), r.floor());
        if (g != null && g.ending) {
            // Its end is not written yet. Guards against a word that a crash would take back.
            answer.accept(null);
        } else if (g != null && g.standing != LoanState.TAKEN) {
            answer.accept(word(g));
        } else if (g != null) {
            if (r.kill() || g.job.live().isEmpty()) {
                answering.computeIfAbsent(key, k -> new ArrayList<>()).add(answer);
                end(
                        g,
                        g.job.complete()
                                ? LoanState.DONE
                                : r.kill() ? LoanState.KILLED : LoanState.BACK);
            } else {
                answer.accept(null);
            }
        } else if (n.isVoid(r.number())) {
            answer.accept(nothing(r.number()));
        } else if (answering.containsKey(key) || n.full()) {
            answer.accept(null); // An offer is just being taken.
        } else {
            makeVoid(r.home(), r.number(), answer);
        }
    }

    // ---- ends -----------------------------------------------------------------------------------

    /**
     * From now on nothing more of it is placed here; what is on machines ends if the loan was
     * stopped for good.
     */
    private void end(BorrowedLoan g, LoanState as) {
        g.ending = true;
        g.job.leave();
        if (as == LoanState.KILLED) {
            new ArrayList<>(g.job.live().values()).forEach(a -> block.stop(a, 0));
        }
        riding.accept(
                new StateWriter.BatchContributor() {
                    @Override
                    public boolean wanted() {
                        return guests.get(g.key()) == g;
                    }

                    @Override
                    public void board(Store.Transaction t) {
                        g.standing = as;
                        g.done = g.job.doneFrom(g.from, g.until);
                        g.next = g.job.nextAttempt();
                        t.when(g.key(), g.revision).put(g.key(), g.record());
                    }

                    @Override
                    public void written(long revision) {
                        g.ending = false;
                        g.revision = revision;
                        block.jobOver(g.spec.id());
                        LOG.info(
                                "loan {} of cell {} is over: {}, {} of {} tasks of {} done",
                                g.number,
                                g.home,
                                as,
                                BitSet.valueOf(g.done).cardinality(),
                                g.until - g.from,
                                g.spec.id());
                        answer(g.key(), word(g));
                        tell(g, timers.now());
                    }
                });
    }

    /** Everything that has to be said, written or given back now. */
    void tend(double now) {
        double lease = block.facts().workers().leaseS();
        for (BorrowedLoan g : new ArrayList<>(guests.values())) {
            if (g.ending) {
                continue;
            }
            if (g.standing != LoanState.TAKEN) {
                if (!g.settled) {
                    tell(g, now);
                } else if (!g.forgetting && block.jobs().get(g.spec.id()) != g.job) {
                    g.forgetting = true; // Nothing of it is left in the records of parts.
                    riding.accept(new VoidNumber(g.home, g.number, g, () -> {}));
                }
            } else if (g.job.complete()) {
                end(g, LoanState.DONE);
            } else if (g.job.live().isEmpty() && (draining || now - g.since > lease)) {
                end(g, LoanState.BACK); // Nothing of it was placed for so long that its home had
                // better try elsewhere.
            }
        }
    }

    private void tell(BorrowedLoan g, double now) {
        double mostS = block.facts().workers().leaseS();
        if (g.telling || now - g.toldAt < RetryBackoff.againS(g.untold, 0.5, mostS, random)) {
            return;
        }
        g.telling = true;
        g.toldAt = now;
        g.untold++;
        asking.ask(
                g.home,
                word(g),
                answer -> {
                    g.telling = false;
                    if (answer instanceof LoanSettled s && s.number() == g.number) {
                        g.settled = true;
                        numbers(g.home, s.floor());
                    }
                });
    }
}
