package io.kitepath.core.state;

import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.CommitResult;
import io.kitepath.core.port.Store.Condition;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * Confirms periodically, by reading the store, that the shard leader knows every cancellation of a
 * set of jobs: of those that may have a task on a machine, or of those that others wait for.
 * Compare-only transactions require the open record of each job to have the revision that the
 * leader knows. Jobs whose records are all unchanged were open when the first transaction was sent.
 * Guards against a watch that hangs while lease renewals succeed, and against a watch whose empty
 * response confirms nothing because the store rejects this node's requests.
 *
 * <p>Jobs whose tasks are placed later need no confirmation: their placement is written on the
 * condition that they are open. Of dependencies that are added later see {@link
 * io.kitepath.core.shard.JobDependencies}. Runs on the event loop.
 */
public final class CancellationVerifier {
    /** Receives the results of the comparisons. */
    public interface Listener {
        /** Called when a job is no longer open although no watch reported it. */
        void jobClosed(String jobId);

        /** Called when the jobs of the next comparison have been determined. */
        default void verificationStarted() {}

        /**
         * Called when all cancellations made before a point in time are known.
         *
         * @param asOfMillis that point in time, by this node's wall clock
         */
        void cancellationsKnownAsOf(double asOfMillis);
    }

    /** Delay before a request that got no definite response is sent again. */
    private static final double RETRY_SECONDS = 0.4;

    private static final double MIN_RATE_WAIT_SECONDS = 0.001;

    /** Number of transactions of one round that are in flight at the same time. */
    private static final int MAX_IN_FLIGHT = 4;

    /** Number of conditions in a compare-only transaction per operation allowed in a write. */
    private static final int CONDITIONS_PER_OPERATION = 4;

    /** Number of rounds within the margin by which a lease may outlast the last confirmation. */
    private static final int ROUNDS_PER_MARGIN = 8;

    private final Store store;
    private final Timers timers;
    private final Random random;
    private final VerificationScope scope;
    private final BooleanSupplier isLoadedLeader;
    private final Listener listener;
    private final Epoch epoch = new Epoch();

    /** Maximum number of conditions in one transaction. */
    private int maxConditions;

    /**
     * Creates an instance for the jobs that may have a task on a machine. It sends no requests
     * before it is started.
     *
     * @param random adds jitter so that the requests of several nodes spread out
     * @param isLoadedLeader whether this node leads the shard and has its jobs loaded
     */
    public CancellationVerifier(
            Store store,
            Timers timers,
            Random random,
            ShardState shard,
            BooleanSupplier isLoadedLeader,
            Listener listener) {
        this(
                store,
                timers,
                random,
                shard,
                VerificationScope.jobsWithTasks(shard),
                isLoadedLeader,
                listener);
    }

    private CancellationVerifier(
            Store store,
            Timers timers,
            Random random,
            ShardState shard,
            VerificationScope scope,
            BooleanSupplier isLoadedLeader,
            Listener listener) {
        this.store = store;
        this.timers = timers;
        this.random = random;
        this.scope = scope;
        this.isLoadedLeader = isLoadedLeader;
        this.listener = listener;
        this.maxConditions =
                CONDITIONS_PER_OPERATION * shard.settings().store().maxTransactionOperations();
    }

    /**
     * Creates an instance for the jobs that others wait for; the parameters are those of the
     * constructor.
     */
    public static CancellationVerifier ofDependencies(
            Store store,
            Timers timers,
            Random random,
            ShardState shard,
            BooleanSupplier isLoadedLeader,
            Listener listener) {
        return new CancellationVerifier(
                store,
                timers,
                random,
                shard,
                VerificationScope.dependencies(shard),
                isLoadedLeader,
                listener);
    }

    /** Starts the rounds for a new leader; they follow one another until {@link #stop}. */
    public void start() {
        startRound(epoch.advance());
    }

    /** Stops the rounds; the listener is no longer called. */
    public void stop() {
        epoch.advance();
    }

    private void startRound(Epoch.Token token) {
        if (token.isStale()) {
            return;
        }
        if (isLoadedLeader.getAsBoolean()) {
            new ComparisonRound(token).begin();
        } else {
            startRoundAfter(RETRY_SECONDS, token);
        }
    }

    private void startRoundAfter(double seconds, Epoch.Token token) {
        timers.schedule(addJitter(seconds), () -> startRound(token));
    }

    /** Returns a random duration between 75% and 125% of the given one. */
    private double addJitter(double seconds) {
        return seconds * (0.75 + random.nextDouble() / 2);
    }

    /**
     * One comparison of all jobs, in as many transactions as necessary, several of them in flight
     * at the same time. Only the transactions that failed are sent again, which guards against a
     * store over its request rate that rejects one of several each time. The result holds as of the
     * time when the first transaction was sent, so a round that takes too long to be useful is
     * replaced by a new one.
     */
    private final class ComparisonRound {
        private final Epoch.Token token;
        private final double startedMillis = timers.wallClockMillis();
        private final Deque<Transaction> unsent = new ArrayDeque<>();

        /** Number of transactions without a definite response. */
        private int unconfirmedTransactions;

        /** Whether this round can no longer be completed. */
        private boolean expired;

        /** Whether another round replaces this one. */
        private boolean replaced;

        ComparisonRound(Epoch.Token token) {
            this.token = token;
            scope.conditions().get().forEach(this::add);
            unconfirmedTransactions = unsent.size();
            listener.verificationStarted();
        }

        private void add(Condition condition) {
            if (unsent.isEmpty() || unsent.getLast().conditions().size() >= maxConditions) {
                unsent.add(new Transaction());
            }
            unsent.getLast().requireRevision(condition.key(), condition.revision());
        }

        void begin() {
            if (unconfirmedTransactions == 0) {
                onComplete();
            }
            for (int i = 0; i < MAX_IN_FLIGHT && !unsent.isEmpty(); i++) {
                send(unsent.poll());
            }
        }

        private void send(Transaction transaction) {
            if (token.isStale()) {
                return;
            }
            double waitSeconds = secondsUntilRequest();
            if (waitSeconds > 0) {
                timers.schedule(waitSeconds, () -> send(transaction));
            } else {
                store.commit(transaction, result -> onResult(transaction, result));
            }
        }

        /** Takes a request of the rate and returns 0, or returns when to try again. */
        private double secondsUntilRequest() {
            double now = timers.nowSeconds();
            return scope.requestRate()
                    .filter(rate -> !rate.tryTake(1, now))
                    .map(rate -> Math.max(MIN_RATE_WAIT_SECONDS, rate.secondsUntil(1, now)))
                    .orElse(0.0);
        }

        private void onResult(Transaction transaction, CommitResult result) {
            switch (result.outcome()) {
                case OK -> onConfirmed();
                case REJECTED ->
                        reportClosedJobs(transaction, new ArrayDeque<>(result.failedKeys()));
                case INVALID -> {
                    // The store accepts fewer conditions than configured; the next round uses
                    // fewer.
                    int rejectedConditions = transaction.conditions().size();
                    maxConditions = Math.max(1, Math.min(maxConditions, rejectedConditions / 2));
                    expired = true;
                    retry(transaction);
                }
                default -> retry(transaction);
            }
        }

        private void retry(Transaction transaction) {
            expired |= timers.wallClockMillis() - startedMillis > 1000 * scope.maxAgeSeconds();
            if (!expired && isLoadedLeader.getAsBoolean()) {
                timers.schedule(addJitter(RETRY_SECONDS), () -> send(transaction));
            } else if (!replaced) {
                replaced = true;
                startRoundAfter(RETRY_SECONDS, token);
            }
        }

        private void onConfirmed() {
            unconfirmedTransactions--;
            if (unconfirmedTransactions == 0) {
                onComplete();
            } else if (!unsent.isEmpty()) {
                send(unsent.poll());
            }
        }

        /**
         * Looks up, one after the other, the keys whose revision differs. Their records were either
         * removed or written again, for example by a migration of the job's parts to another
         * layout.
         */
        private void reportClosedJobs(Transaction transaction, Deque<String> differingKeys) {
            if (differingKeys.isEmpty()) {
                onConfirmed();
                return;
            }
            String key = differingKeys.removeFirst();
            if (key.startsWith(StoreKeys.ENDED_JOBS)) {
                if (!token.isStale()) {
                    listener.jobClosed(key.substring(StoreKeys.ENDED_JOBS.length()));
                }
                reportClosedJobs(transaction, differingKeys);
                return;
            }
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
                        reportClosedJobs(transaction, differingKeys);
                    });
        }

        private void onComplete() {
            if (!token.isStale() && !replaced) {
                if (isLoadedLeader.getAsBoolean()) {
                    listener.cancellationsKnownAsOf(startedMillis);
                }
                startRoundAfter(scope.maxAgeSeconds() / ROUNDS_PER_MARGIN, token);
            }
        }
    }
}
