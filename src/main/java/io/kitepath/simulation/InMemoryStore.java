package io.kitepath.simulation;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.JsonSize;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Store;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * The state service of a {@link SimulatedCluster}: entries with revisions, leases, watches and
 * transactions. Its public fields are its content and its faults; {@link SimulatedStoreClient}
 * applies the faults of the network.
 */
public final class InMemoryStore {
    private static final double ONE_WAY_SECONDS = 0.002;
    private static final double WATCH_INTERVAL_SECONDS = 0.01;
    private static final long MAX_CONDITIONS_PER_OPERATION = 4;

    /** An empty store on the cluster's clock. */
    public InMemoryStore(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    public final TreeMap<String, Store.Entry> entries = new TreeMap<>();

    /** The lease that a key ends with, for keys that have one. */
    public final Map<String, Long> leaseOfKey = new HashMap<>();

    /** When each lease expires, in simulated seconds. */
    public final Map<Long, Double> leaseExpiries = new HashMap<>();

    /** For how many seconds a renewal extends each lease. */
    public final Map<Long, Double> leaseDurations = new HashMap<>();

    /** All changes in their order; a deletion has a null value. */
    public final List<Store.Entry> log = new ArrayList<>();

    public long revision = 1;
    public long nextLease = 1;

    /** Whether it refuses all requests; leases do not expire meanwhile. */
    public boolean unavailable;

    /**
     * Whether it enforces the rates of the cluster's settings, with bursts of one second's worth.
     */
    public boolean enforcesRates;

    /** Requests that were refused for that. */
    public int requestsOverRate;

    private TokenBucket requests;
    private TokenBucket writes;

    /** Additional one-way latency of every request. */
    public double extraLatencySeconds;

    private final SimulatedCluster cluster;

    /** Watches that wait for changes. */
    private final List<PendingWatch> watches = new ArrayList<>();

    /** How many pages of lists were requested. */
    public int pagesRead;

    /** Pages that are refused, by their number in {@link #pagesRead}. */
    public IntPredicate refusesPage = n -> false;

    /** Prefixes whose pages are all refused. */
    public Predicate<String> refusesPrefix = p -> false;

    /** Keys whose single reads are all refused. */
    public Predicate<String> refusesRead = key -> false;

    /** How many of the next transactions on jobs are executed while their responses are lost. */
    public int responsesToLose;

    /** How many of the next transactions on jobs are held back, without a response. */
    public int transactionsToHold;

    /** What was held back; a test executes it when it likes. */
    public final List<Store.Transaction> heldBackTransactions = new ArrayList<>();

    /** Further transactions that are held back, without a response. */
    public Predicate<Store.Transaction> holdsBack = transaction -> false;

    /** Further transactions that are executed while their responses are lost. */
    public Predicate<Store.Transaction> losesResponseOf = transaction -> false;

    /**
     * How late a transaction is executed, without a response, and so perhaps after newer ones of
     * the same node; 0 for at once.
     */
    public ToDoubleFunction<Store.Transaction> executionDelaySeconds = transaction -> 0;

    /** Clients whose watches hang and end without events, while their other requests are served. */
    public Predicate<EmulatorClient> ignoresRequestsOf = client -> false;

    /** Called after every transaction with writes that was executed, with its client. */
    public BiConsumer<EmulatorClient, Store.Transaction> onCommit = (client, transaction) -> {};

    /** How many keys transactions have written. */
    public long writeCount;

    /** Enforces these rates from now on, whatever the settings say. */
    public void throttle(double requestsPerSecond, double writesPerSecond) {
        enforcesRates = true;
        requests = new TokenBucket(requestsPerSecond);
        writes = new TokenBucket(writesPerSecond);
    }

    /** Whether a request with that many writes exceeds a rate; if not, it takes its tokens. */
    boolean exceedsRate(int requestedWrites) {
        if (!enforcesRates) {
            return false;
        }
        if (requests == null) {
            requests = new TokenBucket(cluster.requestsPerSecond);
            writes = new TokenBucket(cluster.writesPerSecond);
        }
        if (writes.available(cluster.clock.now) < requestedWrites
                || !requests.tryTake(1, cluster.clock.now)) {
            requestsOverRate++;
            return true;
        }
        writes.tryTake(requestedWrites, cluster.clock.now);
        return false;
    }

    /** Whether there ever was a record of a job with that id, open or ended. */
    boolean hasEverHeld(String id) {
        return entries.containsKey(StoreKeys.OPEN_JOBS + id)
                || entries.containsKey(StoreKeys.ENDED_JOBS + id)
                || log.stream()
                        .anyMatch(
                                entry ->
                                        entry.key().equals(StoreKeys.OPEN_JOBS + id)
                                                || entry.key().equals(StoreKeys.ENDED_JOBS + id));
    }

    /** The fencing token of the newest leader; 0 before the first. */
    public long leaderFencingToken() {
        Store.Entry entry = entries.get(StoreKeys.FENCING_TOKEN);
        return entry == null ? 0 : DocumentReader.of(entry.value()).count("token");
    }

    /** Ends the leases that have expired, unless the store is unavailable. */
    public void expire() {
        for (Long id : new ArrayList<>(leaseExpiries.keySet())) {
            if (!unavailable && leaseExpiries.get(id) < cluster.clock.now) {
                endLease(id);
            }
        }
    }

    /** Ends a lease and deletes its keys. */
    public void endLease(long id) {
        leaseExpiries.remove(id);
        for (String key : new ArrayList<>(leaseOfKey.keySet())) {
            if (leaseOfKey.get(key) == id) {
                put(key, null, 0, ++revision);
            }
        }
    }

    /** Makes the store unavailable for that time; leases get their full duration afterwards. */
    public void outage(double seconds) {
        unavailable = true;
        cluster.after(
                seconds,
                () -> {
                    unavailable = false;
                    leaseExpiries.replaceAll((id, t) -> cluster.clock.now + leaseDurations.get(id));
                });
    }

    /** Writes a key, or deletes it if the value is null; a lease of 0 is none. */
    public void put(String key, Object value, long lease, long newRevision) {
        Store.Entry entry = new Store.Entry(key, value, newRevision);
        leaseOfKey.remove(key);
        if (value == null) {
            entries.remove(key);
        } else {
            entries.put(key, entry);
            if (lease != 0) {
                leaseOfKey.put(key, lease);
            }
        }
        log.add(entry);
        for (PendingWatch watch : watches) {
            watch.matched |= key.startsWith(watch.prefix);
        }
    }

    /** A watch that waits for changes under a prefix. */
    private final class PendingWatch {
        private final EmulatorClient client;
        private final String prefix;
        private final long afterRevision;
        private final Consumer<Store.WatchResult> answer;
        private boolean matched;

        PendingWatch(
                EmulatorClient client,
                String prefix,
                long after,
                Consumer<Store.WatchResult> answer) {
            this.client = client;
            this.prefix = prefix;
            this.afterRevision = after;
            this.answer = answer;
        }

        /**
         * Answers if there are events, or if its time is over; a client that is not served sees no
         * events.
         *
         * @return whether the watch is over
         */
        private boolean answer(boolean isTimeOver) {
            boolean isServed =
                    !unavailable && !client.isRefused() && !ignoresRequestsOf.test(client);
            List<Store.Entry> events = new ArrayList<>();
            if (isServed && (matched || isTimeOver)) {
                for (int i = log.size() - 1; i >= 0 && log.get(i).revision() > afterRevision; i--) {
                    if (log.get(i).key().startsWith(prefix)) {
                        events.add(0, log.get(i));
                    }
                }
            }
            matched &= !isServed;
            if (events.isEmpty() && !isTimeOver) {
                return !client.isAlive();
            }
            long seenRevision = isServed ? revision : afterRevision;
            Store.WatchResult result =
                    new Store.WatchResult(Store.Outcome.OK, seenRevision, events);
            client.schedule(ONE_WAY_SECONDS, () -> answer.accept(result));
            return true;
        }
    }

    private boolean isServingWatches;

    /** Ends due leases and answers watches every few milliseconds while there are watches. */
    private void serveWatches() {
        isServingWatches = !watches.isEmpty();
        if (isServingWatches) {
            cluster.after(
                    WATCH_INTERVAL_SECONDS,
                    () -> {
                        expire();
                        watches.removeIf(watch -> watch.matched && watch.answer(false));
                        serveWatches();
                    });
        }
    }

    /**
     * Answers as soon as there are changes under a prefix after a revision, or without events once
     * the time is over.
     */
    public void watch(
            EmulatorClient client,
            String prefix,
            long afterRevision,
            double holdSeconds,
            Consumer<Store.WatchResult> answer) {
        PendingWatch watch = new PendingWatch(client, prefix, afterRevision, answer);
        watch.matched = true;
        watches.add(watch);
        cluster.after(
                holdSeconds,
                () -> {
                    if (watches.remove(watch)) {
                        watch.answer(true);
                    }
                });
        if (!isServingWatches) {
            serveWatches();
        }
    }

    /** The largest size of a value that it accepts. */
    public int largestValueBytes = Integer.MAX_VALUE;

    /** The largest number of writes in a transaction that it accepts. */
    public int largestTransactionOperations = Integer.MAX_VALUE;

    /** Transactions that were refused for these limits. */
    public int transactionsOverLimits;

    /** Executes a transaction at once, also one that was held back. */
    public Store.CommitResult execute(Store.Transaction transaction) {
        expire();
        if (exceedsLimits(transaction)) {
            transactionsOverLimits++;
            return new Store.CommitResult(Store.Outcome.INVALID, 0, List.of(), false);
        }
        if (transaction.writes().stream().anyMatch(this::hasExpiredLease)) {
            return new Store.CommitResult(Store.Outcome.REJECTED, 0, List.of(), true);
        }
        List<String> failed = failedConditions(transaction);
        if (!failed.isEmpty()) {
            return new Store.CommitResult(Store.Outcome.REJECTED, 0, failed, false);
        }
        long newRevision = transaction.writes().isEmpty() ? revision : ++revision;
        transaction
                .writes()
                .forEach(write -> put(write.key(), write.value(), write.leaseId(), newRevision));
        return new Store.CommitResult(Store.Outcome.OK, newRevision, List.of(), false);
    }

    private boolean exceedsLimits(Store.Transaction transaction) {
        return transaction.writes().size() > largestTransactionOperations
                || transaction.conditions().size()
                        > MAX_CONDITIONS_PER_OPERATION * largestTransactionOperations
                || transaction.writes().stream()
                        .anyMatch(
                                write ->
                                        write.value() != null
                                                && JsonSize.sizeInBytes(write.value())
                                                        > largestValueBytes);
    }

    private boolean hasExpiredLease(Store.Write write) {
        return write.leaseId() != 0 && !leaseExpiries.containsKey(write.leaseId());
    }

    private List<String> failedConditions(Store.Transaction transaction) {
        List<String> failed = new ArrayList<>();
        for (Store.Condition condition : transaction.conditions()) {
            Store.Entry entry = entries.get(condition.key());
            if ((entry == null ? 0 : entry.revision()) != condition.revision()) {
                failed.add(condition.key());
            }
        }
        return failed;
    }
}
