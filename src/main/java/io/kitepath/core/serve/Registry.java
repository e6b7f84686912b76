package io.kitepath.core.serve;

import io.kitepath.core.model.Facts;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobState;
import io.kitepath.core.model.Tree;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.state.Keys;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * What users ask of any node, answered from the store: only it knows whether a job is open or over. Only final
 * states come from memory, because they never change.
 */
public final class Registry implements Jobs {
    public enum Verdict { CREATED, KNOWN, NOT_FOUND, LATER }

    public record Answer(Verdict verdict, JobState state) {
        public static final Answer LATER = new Answer(Verdict.LATER, null);
        static final Answer NOT_FOUND = new Answer(Verdict.NOT_FOUND, null);
    }

    private static final int MAX_TRIES = 4;

    private final Store store;
    private final Timers timers;
    private final Cache<String, JobState> over = Caffeine.newBuilder().maximumSize(5000).build();
    private final Questions questions;
    /** Whether tasks may be lent to other cells. */
    private final boolean cells;
    private Consumer<JobState> onCancelled = job -> {};
    /**
     * Whether the store answers this node. Guards against requests that wait for their time-out, one behind the other,
     * when it is known that they can't be answered: users are told at once when to come back.
     */
    private final BooleanSupplier served;

    /** {@code cells}: whether tasks may be lent to other cells. */
    public Registry(Facts facts, Store store, Timers timers, BooleanSupplier served, Questions.Holder holder,
            boolean cells) {
        this.cells = cells;
        this.store = store;
        this.timers = timers;
        this.served = served;
        this.questions = new Questions(facts, store, timers, holder, this::readOver);
    }

    public void onCancelled(Consumer<JobState> listener) {
        onCancelled = listener;
    }

    /** Answers what needs no look into the store: a final state, or that the store can't be asked now. */
    private boolean answeredAtOnce(String id, Consumer<Answer> answer) {
        JobState known = over.getIfPresent(id);
        if (known != null) {
            answer.accept(new Answer(Verdict.KNOWN, known));
        } else if (!served.getAsBoolean()) {
            answer.accept(Answer.LATER);
        } else {
            return false;
        }
        return true;
    }

    /** The store has the job's end, which never changes: a word of the node that wrote it saves a read. */
    public void ended(JobState s) {
        over.put(s.id(), s);
    }

    @Override
    public void submit(JobSpec spec, Consumer<Answer> answer) {
        String id = spec.id();
        if (answeredAtOnce(id, answer)) {
            return;
        }
        Map<String, Object> record = spec.toRecord();
        record.put("submittedMs", timers.wallMs());
        store.commit(new Transaction().when(Keys.OPEN + id, 0).when(Keys.OVER + id, 0)
                .put(Keys.OPEN + id, record), c -> {
            if (c.outcome() == Outcome.OK) {
                questions.accepted(id);
                answer.accept(new Answer(Verdict.CREATED, new JobState(id, "pending", 0, 0)));
            } else if (c.outcome() == Outcome.NO) {
                status(id, answer);
            } else {
                answer.accept(Answer.LATER);
            }
        });
    }

    @Override
    public void status(String id, Consumer<Answer> answer) {
        if (!answeredAtOnce(id, answer)) {
            questions.ask(id, answer);
        }
    }

    private void readOver(String id, Consumer<Answer> answer) {
        store.get(Keys.OVER + id, (outcome, entry) -> {
            if (outcome == Outcome.OK) {
                Tree t = Tree.of(entry.value());
                JobState s = new JobState(id, t.text("status"), (int) t.count("done"), 0);
                over.put(id, s);
                answer.accept(new Answer(Verdict.KNOWN, s));
            } else {
                answer.accept(outcome == Outcome.NO ? Answer.NOT_FOUND : Answer.LATER);
            }
        });
    }

    @Override
    public void cancel(String id, Consumer<Answer> answer) {
        cancel(id, MAX_TRIES, answer);
    }

    private void cancel(String id, int tries, Consumer<Answer> answer) {
        if (answeredAtOnce(id, answer)) {
            return;
        }
        if (tries == 0) {
            answer.accept(Answer.LATER);
            return;
        }
        store.get(Keys.OPEN + id, (outcome, open) -> {
            if (outcome == Outcome.NO) {
                readOver(id, answer);
                return;
            }
            if (outcome != Outcome.OK) {
                answer.accept(Answer.LATER);
                return;
            }
            Map<String, Object> record = new LinkedHashMap<>();
            ((Map<?, ?>) open.value()).forEach((k, v) -> record.put((String) k, v));
            record.put("status", "cancelled");
            record.put("done", 0L);
            Transaction move = new Transaction().when(Keys.OPEN + id, open.revision()).when(Keys.OVER + id, 0)
                    .remove(Keys.OPEN + id).put(Keys.OVER + id, record);
            if (cells) {
                move.when(Keys.LENT + id, 0);
            }
            store.commit(move, c -> {
                if (c.outcome() == Outcome.OK) {
                    JobState s = new JobState(id, "cancelled", 0, 0);
                    over.put(id, s);
                    onCancelled.accept(s);
                    answer.accept(new Answer(Verdict.KNOWN, s));
                } else if (c.outcome() == Outcome.NO && c.failed().contains(Keys.LENT + id)) {
                    callBack(id, open.revision(), answer);
                } else if (c.outcome() == Outcome.NO) {
                    cancel(id, tries - 1, answer);
                } else {
                    answer.accept(Answer.LATER);
                }
            });
        });
    }

    /**
     * Some of the job is lent to other cells. Guards against a user who is told that it is cancelled while a cell that
     * nobody can reach starts a task of it: it is called back first, and the user told to come again, until its holder
     * has it from that cell's own records that no more of it will start.
     */
    private void callBack(String id, long openRevision, Consumer<Answer> answer) {
        store.commit(new Transaction().when(Keys.OPEN + id, openRevision).when(Keys.LEAVE + id, 0)
                .put(Keys.LEAVE + id, Map.of()), c -> answer.accept(Answer.LATER));
    }
}
