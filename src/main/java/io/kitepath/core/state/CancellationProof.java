package io.kitepath.core.state;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.CommitResult;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * Proves by the store, again and again, that the holder knows every cancellation: transactions that
 * only compare name the open key of each job of which something may be on a machine, at the
 * revision that the holder knows. What all of them find unchanged was open when the first was sent.
 * Guards against a watch that hangs while renewals go through, and against one whose empty answer
 * proves nothing, since the store refuses this node.
 *
 * <p>Jobs whose tasks are placed later need no proof: their placing is written under the condition
 * that they are open.
 */
public final class CancellationProof {
    public interface Listener {
        /** The job is not open any more, though no watch said so. */
        void jobClosed(String jobId);

        /**
         * All that was cancelled before that moment, in milliseconds by our time of day, is known.
         */
        void cancellationsKnownAsOf(double atMs);
    }

    private static final double RETRY_SECONDS = 0.4;
    private static final int MAX_IN_FLIGHT = 4;

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;
    private final Random random;
    private final ShardState shard;

    /** Whether the jobs are known and this node holds them. */
    private final BooleanSupplier holding;

    private final Listener listener;

    /** Conditions in one transaction. */
    private int maxConditions;

    private long epoch;

    public CancellationProof(
            Store store,
            Timers timers,
            Random random,
            ShardState shard,
            BooleanSupplier holding,
            Listener listener) {
        this.settings = shard.settings();
        this.store = store;
        this.timers = timers;
        this.random = random;
        this.shard = shard;
        this.holding = holding;
        this.listener = listener;
        this.maxConditions = 4 * settings.store().maxTransactionOperations();
    }

    /** A new holder begins. */
    public void start() {
        startRound(++epoch);
    }

    public void stop() {
        epoch++;
    }

    private void startRound(long e) {
        if (e != epoch) {
            return;
        }
        if (holding.getAsBoolean()) {
            new ComparisonRound(e).send();
        } else {
            startRoundAfter(e, RETRY_SECONDS);
        }
    }

    private void startRoundAfter(long e, double seconds) {
        timers.schedule(jittered(seconds), () -> startRound(e));
    }

    private double jittered(double seconds) {
        return seconds * (0.75 + random.nextDouble() / 2);
    }

    /**
     * One comparison of all, in as many transactions as it takes, some at once. Guards against a
     * store over its rate that refuses one of several each time: what was refused is sent again,
     * the rest is not. It counts from when the first was sent, so one that takes too long to be
     * worth anything begins anew.
     */
    private final class ComparisonRound {
        private final long of;
        private final double sentMs = timers.wallClockMillis();
        private final Deque<Transaction> left = new ArrayDeque<>();
        private int missing;

        /** It can't be completed any more. */
        private boolean tooLong;

        /** Another look is taken instead. */
        private boolean given;

        ComparisonRound(long of) {
            this.of = of;
            for (Job job : shard.jobs().values()) {
                // Guests are cancelled by their home cell, which waits for this cell's word before
                // it tells anybody.
                if (!job.isFinished() && !job.borrowed && !job.liveAttempts().isEmpty()) {
                    if (left.isEmpty() || left.getLast().conditions().size() >= maxConditions) {
                        left.add(new Transaction());
                    }
                    left.getLast().requireRevision(job.recordKey, job.revision());
                }
            }
            missing = left.size();
        }

        void send() {
            if (missing == 0) {
                settled();
            }
            for (int i = 0; i < MAX_IN_FLIGHT && !left.isEmpty(); i++) {
                send(left.poll());
            }
        }

        private void send(Transaction transaction) {
            if (of == epoch) {
                store.commit(transaction, result -> answered(transaction, result));
            }
        }

        private void answered(Transaction transaction, CommitResult result) {
            switch (result.outcome()) {
                case OK -> next();
                case REJECTED -> closed(transaction, new ArrayDeque<>(result.failedKeys()));
                default -> {
                    if (result.outcome() == Outcome.INVALID) {
                        // The store takes fewer conditions by now than anybody said: those of the
                        // next look.
                        maxConditions =
                                Math.max(
                                        1,
                                        Math.min(
                                                maxConditions,
                                                transaction.conditions().size() / 2));
                        tooLong = true;
                    }
                    retry(transaction);
                }
            }
        }

        private void retry(Transaction transaction) {
            tooLong |=
                    timers.wallClockMillis() - sentMs
                            > 1000 * settings.workers().cancellationStalenessSeconds();
            if (!tooLong && holding.getAsBoolean()) {
                timers.schedule(jittered(RETRY_SECONDS), () -> send(transaction));
            } else if (!given) {
                given = true;
                startRoundAfter(of, RETRY_SECONDS);
            }
        }

        private void next() {
            missing--;
            if (missing == 0) {
                settled();
            } else if (!left.isEmpty()) {
                send(left.poll());
            }
        }

        /** Gone, or written anew, as when its parts were laid out in another way. */
        private void closed(Transaction transaction, Deque<String> keys) {
            if (keys.isEmpty()) {
                next();
                return;
            }
            String key = keys.removeFirst();
            store.get(
                    key,
                    (outcome, entry) -> {
                        if (outcome != Outcome.OK && outcome != Outcome.REJECTED) {
                            retry(transaction);
                            return;
                        }
                        if (of == epoch && outcome == Outcome.REJECTED) {
                            listener.jobClosed(key.substring(StoreKeys.OPEN_JOBS.length()));
                        }
                        closed(transaction, keys);
                    });
        }

        private void settled() {
            if (of == epoch && !given) {
                if (holding.getAsBoolean()) {
                    listener.cancellationsKnownAsOf(sentMs);
                }
                startRoundAfter(of, settings.workers().cancellationStalenessSeconds() / 8);
            }
        }
    }
}
