package io.kitepath.core.duty;

import io.kitepath.core.model.Malformed;
import io.kitepath.core.model.Tree;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Condition;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Listing;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.state.Keys;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One look through the records, a step at a time: what nothing refers to any more, and what should not be. Whether jobs
 * are open or over is asked by comparisons that write nothing, for many at once, so that a look costs one request for
 * each page of records and one or two for each hundred jobs, however much history there is.
 */
public final class Audit {
    /** Records in one page. */
    private static final int PAGE = 200;

    /**
     * What was found.
     *
     * @param rubbish whether it can be removed; if not, it should not be, and a person has to look
     * @param why in words
     * @param conditions under which it is rubbish, its own revision among them
     */
    public record Finding(boolean rubbish, String key, String why, List<Condition> conditions) {}

    private final Store store;
    private final int conditions;
    private final Consumer<Finding> found;
    private final Deque<String> prefixes = new ArrayDeque<>(List.of(Keys.PART, Keys.OPEN, Keys.ACT));
    private String prefix = prefixes.poll();
    private String from = "";
    /** What has to be compared before the next page is read. */
    private final Deque<Runnable> steps = new ArrayDeque<>();
    private Runnable then = () -> { };
    private long seen;
    private boolean failed;

    /**
     * A look that begins at the start.
     *
     * @param conditions how many one transaction may have
     * @param found is told of each finding
     */
    public Audit(Store store, int conditions, Consumer<Finding> found) {
        this.store = store;
        this.conditions = conditions;
        this.found = found;
    }

    /** Whether all has been looked at. */
    public boolean done() {
        return prefix == null && steps.isEmpty();
    }

    /** Records looked at so far. */
    public long seen() {
        return seen;
    }

    /** Takes the next step, one request; {@code then} runs when it has been answered. Refused steps are tried again. */
    public void step(Runnable afterwards) {
        then = afterwards;
        failed = false;
        Runnable next = steps.poll();
        if (next != null) {
            next.run();
        } else if (prefix != null) {
            page();
        } else {
            then.run();
        }
    }

    /** Whether the last step got no answer, so that the next one should wait. */
    public boolean failed() {
        return failed;
    }

    private void page() {
        store.page(prefix, from, PAGE, l -> {
            if (l.outcome() == Outcome.OK) {
                read(l);
                if (l.more() && !l.entries().isEmpty()) {
                    from = l.entries().get(l.entries().size() - 1).key();
                } else {
                    prefix = prefixes.poll();
                    from = "";
                }
            }
            failed = l.outcome() != Outcome.OK;
            then.run();
        });
    }

    private void read(Listing l) {
        seen += l.entries().size();
        switch (prefix) {
            case Keys.PART -> parts(l.entries());
            case Keys.OPEN -> open(l.entries());
            default -> l.entries().forEach(this::act);
        }
    }

    // ---- parts without a job --------------------------------------------------------------------

    private void parts(List<Entry> entries) {
        Map<String, List<Entry>> byJob = new LinkedHashMap<>();
        for (Entry e : entries) {
            String id = Keys.jobOf(e.key());
            if (id == null) {
                found.accept(new Finding(false, e.key(), "is not the key of a part", List.of()));
            } else {
                byJob.computeIfAbsent(id, k -> new ArrayList<>()).add(e);
            }
        }
        slices(new ArrayList<>(byJob.keySet()), ids -> absent(Keys.OPEN, ids, notOpen ->
                absent(Keys.OVER, notOpen, nowhere -> {
                    nowhere.forEach(id -> byJob.get(id).forEach(e -> orphan(id, e)));
                    then.run();
                })));
    }

    private void orphan(String id, Entry e) {
        boolean idle;
        try {
            idle = Tree.of(e.value()).raw("live") instanceof Map<?, ?> live && live.isEmpty();
        } catch (Malformed bad) {
            idle = false;
        }
        found.accept(new Finding(idle, e.key(), idle ? "a part of job " + id + ", which is neither open nor over"
                : "tasks on machines of job " + id + ", which is neither open nor over",
                List.of(new Condition(e.key(), e.revision()), new Condition(Keys.OPEN + id, 0),
                        new Condition(Keys.OVER + id, 0))));
    }

    // ---- jobs in two places ---------------------------------------------------------------------

    private void open(List<Entry> entries) {
        List<String> ids = entries.stream().map(e -> e.key().substring(Keys.OPEN.length())).toList();
        slices(ids, some -> absent(Keys.OVER, some, fine -> {
            Set<String> twice = new LinkedHashSet<>(some);
            fine.forEach(twice::remove);
            twice.forEach(id -> found.accept(new Finding(false, Keys.OPEN + id, "the job is open and over", List.of())));
            then.run();
        }));
    }

    // ---- acts -----------------------------------------------------------------------------------

    /** Those that can be read are the holder's: it takes in whatever has come of them, also of earlier ones' acts. */
    private void act(Entry e) {
        try {
            Intent.read(e);
        } catch (Malformed | ClassCastException bad) {
            found.accept(new Finding(false, e.key(), "is unreadable: " + bad.getMessage(), List.of()));
        }
    }

    // ---- comparing ------------------------------------------------------------------------------

    private void slices(List<String> ids, Consumer<List<String>> compare) {
        for (int i = 0; i < ids.size(); i += conditions) {
            List<String> some = ids.subList(i, Math.min(ids.size(), i + conditions));
            steps.add(() -> compare.accept(some));
        }
    }

    /** Which of the jobs have no record under the prefix; not told, and the step put back, if that can't be had now. */
    private void absent(String under, List<String> ids, Consumer<List<String>> tell) {
        if (ids.isEmpty()) {
            tell.accept(List.of());
            return;
        }
        Transaction compare = new Transaction();
        ids.forEach(id -> compare.when(under + id, 0));
        store.commit(compare, c -> {
            if (c.outcome() == Outcome.OK) {
                tell.accept(ids);
            } else if (c.outcome() == Outcome.NO && !c.failed().isEmpty()) {
                Set<String> there = new HashSet<>(c.failed());
                tell.accept(ids.stream().filter(id -> !there.contains(under + id)).toList());
            } else if (c.outcome() == Outcome.INVALID && ids.size() > 1) {
                // The store takes fewer conditions by now than anybody said.
                int half = ids.size() / 2;
                absent(under, ids.subList(0, half), some -> absent(under, ids.subList(half, ids.size()), rest -> {
                    List<String> both = new ArrayList<>(some);
                    both.addAll(rest);
                    tell.accept(both);
                }));
            } else {
                steps.addFirst(() -> absent(under, ids, tell));
                failed = true;
                then.run();
            }
        });
    }
}
