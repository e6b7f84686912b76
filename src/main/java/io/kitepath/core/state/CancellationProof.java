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
 * Proves by the store, again and again, that the shard leader knows every cancellation:
 * transactions that only compare name the open key of each job of which something may be on a
 * machine, at the revision that the leader knows. What all of them find unchanged was open when the
 * first was sent. Guards against a watch that hangs while renewals go through, and against one
 * whose empty answer proves nothing, since the store refuses this node.
 *
 * <p>Jobs whose tasks are placed later need no proof: their placement is written under the
 * condition that they are open. Runs on the event loop.
 */
public final class CancellationProof {
    /** Receives what the comparisons show. */
    public interface Listener {
        /** The job is not open any more, though no watch said so. */
        void jobClosed(String id);

        /**
         * All cancellations are known that were made before a moment.
         *
         * @param asOfMillis that moment, by this node's wall clock
         */
        void cancellationsKnownAsOf(double asOfMillis);
    }

    /** Before something is asked again that was not answered. */
    private static final double RETRY_SECONDS = 0.4;

    /** Transactions of one round that are sent at the same time. */
    private static final int MAX_IN_FLIGHT = 4;

    /** A transaction that only compares may hold that many times the operations of a write. */
    private static final int CONDITIONS_PER_OPERATION = 4;

    /** Rounds within the margin that a lease is kept beyond what is proven. */
    private static final int ROUNDS_PER_MARGIN = 8;

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;
    private final Random random;
    private final ShardState shard;
    private final BooleanSupplier holdsLoadedShard;
    private final Listener listener;
    private final Epoch epoch = new Epoch();

    /** Conditions in one transaction. */
    private int maxConditions;

    /**
     * Creates a proof that asks nothing before it is started.
     *
     * @param random spreads the questions of several nodes
     * @param holdsLoadedShard whether this node leads the shard and has its jobs in memory
     */
    public CancellationProof(
            Store store,
            Timers timers,
            Random random,
            ShardState shard,
            BooleanSupplier holdsLoadedShard,
            Listener listener) {
        this.settings = shard.settings();
        this.store = store;
        this.timers = timers;
        this.random = random;
        this.shard = shard;
        this.holdsLoadedShard = holdsLoadedShard;
        this.listener = listener;
        this.maxConditions = CONDITIONS_PER_OPERATION * settings.store().maxTransactionOperations();
    }

    /** Begins for a new leader; rounds follow one another until {@link #stop}. */
    public void start() {
        startRound(epoch.advance());
    }

    /** Ends the rounds; the listener is not called any more. */
    public void stop() {
        epoch.advance();
    }

    private void startRound(Epoch.Token token) {
        if (token.isStale()) {
            return;
        }
        if (holdsLoadedShard.getAsBoolean()) {
            new ComparisonRound(token).begin();
        } else {
            startRoundAfter(RETRY_SECONDS, token);
        }
    }

    private void startRoundAfter(double seconds, Epoch.Token token) {
        timers.schedule(jittered(seconds), () -> startRound(token));
    }

    /** Between three and five quarters of the time. */
    private double jittered(double seconds) {
        return seconds * (0.75 + random.nextDouble() / 2);
    }

    /**
     * One comparison of all jobs, in as many transactions as it takes, some at the same time.
     * Guards against a store over its rate that refuses one of several each time: what was refused
     * is sent again, the rest is not. It counts from when the first was sent, so one that takes too
     * long to be worth anything begins anew.
     */
    private final class ComparisonRound {
        private final Epoch.Token token;
        private final double startedMillis = timers.wallClockMillis();
        private final Deque<Transaction> unsent = new ArrayDeque<>();

        /** Transactions of which the answer is missing. */
        private int unanswered;

        /** Whether it can't be completed any more. */
        private boolean expired;

        /** Whether another round takes its place. */
        private boolean replaced;

        ComparisonRound(Epoch.Token token) {
            this.token = token;
            for (Job job : shard.jobs().values()) {
                if (needsProof(job)) {
                    if (unsent.isEmpty() || unsent.getLast().conditions().size() >= maxConditions) {
                        unsent.add(new Transaction());
                    }
                    unsent.getLast().requireRevision(job.recordKey, job.revision());
                }
            }
            unanswered = unsent.size();
        }

        /**
         * Jobs of other cells are cancelled by their home cell, which waits for this cell's answer
         * before it tells anybody.
         */
        private boolean needsProof(Job job) {
            return !job.isFinished() && !job.isBorrowed && !job.liveAttempts().isEmpty();
        }

        void begin() {
            if (unanswered == 0) {
                onComplete();
            }
            for (int i = 0; i < MAX_IN_FLIGHT && !unsent.isEmpty(); i++) {
                send(unsent.poll());
            }
        }

        private void send(Transaction transaction) {
            if (!token.isStale()) {
                store.commit(transaction, result -> onResult(transaction, result));
            }
        }

        private void onResult(Transaction transaction, CommitResult result) {
            switch (result.outcome()) {
                case OK -> onCompared();
                case REJECTED -> reportClosed(transaction, new ArrayDeque<>(result.failedKeys()));
                case INVALID -> {
                    // The store takes fewer conditions than the settings say: those of the next
                    // round.
                    int tooMany = transaction.conditions().size();
                    maxConditions = Math.max(1, Math.min(maxConditions, tooMany / 2));
                    expired = true;
                    retry(transaction);
                }
                default -> retry(transaction);
            }
        }

        private void retry(Transaction transaction) {
            expired |=
                    timers.wallClockMillis() - startedMillis
                            > 1000 * settings.workers().cancellationStalenessSeconds();
            if (!expired && holdsLoadedShard.getAsBoolean()) {
                timers.schedule(jittered(RETRY_SECONDS), () -> send(transaction));
            } else if (!replaced) {
                replaced = true;
                startRoundAfter(RETRY_SECONDS, token);
            }
        }

        private void onCompared() {
            unanswered--;
            if (unanswered == 0) {
                onComplete();
            } else if (!unsent.isEmpty()) {
                send(unsent.poll());
            }
        }

        /**
         * Looks up, one after the other, the keys that differ: they are gone, or were written anew,
         * as when the job's parts were laid out in another way.
         */
        private void reportClosed(Transaction transaction, Deque<String> keys) {
            if (keys.isEmpty()) {
                onCompared();
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
                        if (!token.isStale() && outcome == Outcome.REJECTED) {
                            listener.jobClosed(key.substring(StoreKeys.OPEN_JOBS.length()));
                        }
                        reportClosed(transaction, keys);
                    });
        }

        private void onComplete() {
            if (!token.isStale() && !replaced) {
                if (holdsLoadedShard.getAsBoolean()) {
                    listener.cancellationsKnownAsOf(startedMillis);
                }
                startRoundAfter(
                        settings.workers().cancellationStalenessSeconds() / ROUNDS_PER_MARGIN,
                        token);
            }
        }
    }
}
