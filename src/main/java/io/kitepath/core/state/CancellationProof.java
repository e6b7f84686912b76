package io.kitepath.core.state;

import io.kitepath.core.block.Block;
import io.kitepath.core.block.Job;
import io.kitepath.core.model.Facts;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * Proves by the store, again and again, that the holder knows every cancellation: transactions that only compare name
 * the open key of each job of which something may be on a machine, at the revision that the holder knows. What all of
 * them find unchanged was open when the first was sent. Guards against a watch that hangs while renewals go through, and
 * against one whose empty answer proves nothing, since the store refuses this node.
 *
 * <p>Jobs whose tasks are placed later need no proof: their placing is written under the condition that they are open.
 */
public final class CancellationProof {
    public interface Listener {
        /** The job is not open any more, though no watch said so. */
        void closed(String job);

        /** All that was cancelled before that moment, in milliseconds by our time of day, is known. */
        void proven(double atMs);
    }

    private final Facts facts;
    private final Store store;
    private final Timers timers;
    private final Random random;
    private final Block block;
    /** Whether the jobs are known and this node holds them. */
    private final BooleanSupplier holding;
    private final Listener listener;
    private long epoch;

    public CancellationProof(Store store, Timers timers, Random random, Block block, BooleanSupplier holding,
            Listener listener) {
        this.facts = block.facts();
        this.store = store;
        this.timers = timers;
        this.random = random;
        this.block = block;
        this.holding = holding;
        this.listener = listener;
    }

    /** A new holder begins. */
    public void start() {
        look(++epoch);
    }

    public void stop() {
        epoch++;
    }

    private void look(long e) {
        if (e != epoch) {
            return;
        }
        if (holding.getAsBoolean()) {
            new Look(e).send();
        } else {
            again(e, 0.2);
        }
    }

    private void again(long e, double seconds) {
        timers.after(seconds * (0.75 + random.nextDouble() / 2), () -> look(e));
    }

    /** One comparison of all, in as many transactions as it takes. */
    private final class Look {
        private final long of;
        private final double sentMs = timers.wallMs();
        private int missing;
        private boolean failed;

        Look(long of) {
            this.of = of;
        }

        void send() {
            List<Transaction> all = new ArrayList<>();
            int most = 4 * facts.store().txnOps();
            for (Job job : block.jobs().values()) {
                // Guests are cancelled by their home cell, which waits for this cell's word before it tells anybody.
                if (!job.over() && !job.guest && !job.live().isEmpty()) {
                    if (all.isEmpty() || all.get(all.size() - 1).conditions().size() == most) {
                        all.add(new Transaction());
                    }
                    all.get(all.size() - 1).when(job.key, job.revision());
                }
            }
            missing = 1 + all.size();
            all.forEach(t -> store.commit(t, c -> {
                if (c.outcome() == Outcome.NO) {
                    missing += c.failed().size();
                    c.failed().forEach(this::closed);
                } else {
                    failed |= c.outcome() != Outcome.OK;
                }
                settled();
            }));
            settled();
        }

        /** Gone, or written anew, as when its parts were laid out in another way. */
        private void closed(String key) {
            store.get(key, (outcome, entry) -> {
                if (of == epoch && outcome == Outcome.NO) {
                    listener.closed(key.substring(Keys.OPEN.length()));
                }
                failed |= outcome != Outcome.OK && outcome != Outcome.NO;
                settled();
            });
        }

        private void settled() {
            if (--missing > 0 || of != epoch) {
                return;
            }
            if (!failed && holding.getAsBoolean()) {
                listener.proven(sentMs);
            }
            again(of, Math.min(failed ? 0.5 : 1e9, facts.workers().marginS() / 8));
        }
    }
}
