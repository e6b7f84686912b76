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

/** The state service: keys, leases, follows; can refuse, or lose an answer, or execute late. */
public final class InMemoryStore {
    public InMemoryStore(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    public final TreeMap<String, Store.Entry> entries = new TreeMap<>();
    public final Map<String, Long> leaseOfKey = new HashMap<>();
    public final Map<Long, Double> leaseExpiries = new HashMap<>();
    public final Map<Long, Double> leaseDurations = new HashMap<>();
    public final List<Store.Entry> log = new ArrayList<>();
    public long revision = 1;
    public long nextLease = 1;
    public boolean unavailable;

    /**
     * Whether it refuses what comes above the settings' rates; it allows bursts of one second's
     * worth.
     */
    public boolean enforcesRates;

    public int requestsOverRate;
    private TokenBucket requests;
    private TokenBucket writes;

    /** What every request takes longer to get there than usual. */
    public double extraLatencySeconds;

    private final SimulatedCluster cluster;

    /** Watches that wait for changes. */
    private final List<PendingWatch> watches = new ArrayList<>();

    /** Pages asked for, and which of them are refused. */
    public int pagesRead;

    public IntPredicate refusesPage = n -> false;

    /** Prefixes under which no page is to be had. */
    public Predicate<String> refusesPrefix = p -> false;

    /** The next transactions are executed, but nobody hears of it. */
    public int responsesToLose;

    /** The next transactions get no answer, and are kept to be executed late. */
    public int transactionsToHold;

    public final List<Store.Transaction> heldBackTransactions = new ArrayList<>();

    /**
     * Transactions that get no answer and are kept, as by a network that delivers them some other
     * time.
     */
    public Predicate<Store.Transaction> holdsBack = transaction -> false;

    /** Transactions that are executed, but nobody hears of it. */
    public Predicate<Store.Transaction> losesResponseOf = transaction -> false;

    /**
     * How late a transaction that gets no answer is carried out, after newer ones of the same node;
     * 0: it is not late.
     */
    public ToDoubleFunction<Store.Transaction> executionDelaySeconds = transaction -> 0;

    /**
     * Nodes whose watches hang: they see nothing, and end without having seen anything, while all
     * else is served.
     */
    public Predicate<EmulatorClient> ignoresRequestsOf = client -> false;

    /** Sees every transaction that was executed and changed something, and by whom. */
    public BiConsumer<EmulatorClient, Store.Transaction> onCommit = (client, transaction) -> {};

    public long writeCount;

    /** Whether a request with so many changes is over the rates; counts it if not. */
    boolean exceedsRate(int itsWrites) {
        if (!enforcesRates) {
            return false;
        }
        if (requests == null) {
            requests = new TokenBucket(cluster.requestsPerSecond);
            writes = new TokenBucket(cluster.writesPerSecond);
        }
        if (writes.available(cluster.clock.now) < itsWrites
                || !requests.tryTake(1, cluster.clock.now)) {
            requestsOverRate++;
            return true;
        }
        writes.tryTake(itsWrites, cluster.clock.now);
        return false;
    }

    /** Whether there ever was a record of a job with that id, open or over. */
    boolean hasEverHeld(String id) {
        return entries.containsKey(StoreKeys.OPEN_JOBS + id)
                || entries.containsKey(StoreKeys.ENDED_JOBS + id)
                || log.stream()
                        .anyMatch(
                                entry ->
                                        entry.key().equals(StoreKeys.OPEN_JOBS + id)
                                                || entry.key().equals(StoreKeys.ENDED_JOBS + id));
    }

    public long leaderFencingToken() {
        Store.Entry entry = entries.get(StoreKeys.FENCING_TOKEN);
        return entry == null ? 0 : DocumentReader.of(entry.value()).count("token");
    }

    public void expire() {
        for (Long id : new ArrayList<>(leaseExpiries.keySet())) {
            if (!unavailable && leaseExpiries.get(id) < cluster.clock.now) {
                endLease(id);
            }
        }
    }

    public void endLease(long id) {
        leaseExpiries.remove(id);
        for (String key : new ArrayList<>(leaseOfKey.keySet())) {
            if (leaseOfKey.get(key) == id) {
                put(key, null, 0, ++revision);
            }
        }
    }

    public void outage(double seconds) {
        unavailable = true;
        cluster.after(
                seconds,
                () -> {
                    unavailable = false;
                    leaseExpiries.replaceAll((id, t) -> cluster.clock.now + leaseDurations.get(id));
                });
    }

    public void put(String key, Object v, long l, long r) {
        Store.Entry entry = new Store.Entry(key, v, r);
        leaseOfKey.remove(key);
        if (v == null) {
            entries.remove(key);
        } else {
            entries.put(key, entry);
            if (l != 0) {
                leaseOfKey.put(key, l);
            }
        }
        log.add(entry);
        for (PendingWatch x : watches) {
            x.matched |= key.startsWith(x.prefix);
        }
    }

    /** One that waits for changes under a prefix. */
    private final class PendingWatch {
        private final EmulatorClient node;
        private final String prefix;
        private final long afterRevision;
        private final Consumer<Store.WatchResult> answer;
        private boolean matched;

        PendingWatch(
                EmulatorClient node,
                String prefix,
                long after,
                Consumer<Store.WatchResult> answer) {
            this.node = node;
            this.prefix = prefix;
            this.afterRevision = after;
            this.answer = answer;
        }

        /** Looks after some changes; while the store does not serve the node, nothing is seen. */
        private boolean served(boolean last) {
            boolean no = unavailable || node.isRefused() || ignoresRequestsOf.test(node);
            List<Store.Entry> events = new ArrayList<>();
            if (!no && (matched || last)) {
                for (int i = log.size() - 1; i >= 0 && log.get(i).revision() > afterRevision; i--) {
                    if (log.get(i).key().startsWith(prefix)) {
                        events.add(0, log.get(i));
                    }
                }
            }
            matched &= no;
            if (events.isEmpty() && !last) {
                return !node.isAlive();
            }
            long r = no ? afterRevision : revision;
            node.schedule(
                    0.002, () -> answer.accept(new Store.WatchResult(Store.Outcome.OK, r, events)));
            return true;
        }
    }

    private boolean expiryCheckScheduled;

    /** Watches are looked through every few milliseconds, as long as there are any. */
    private void expireDueLeases() {
        expiryCheckScheduled = !watches.isEmpty();
        if (expiryCheckScheduled) {
            cluster.after(
                    0.01,
                    () -> {
                        expire();
                        watches.removeIf(x -> x.matched && x.served(false));
                        expireDueLeases();
                    });
        }
    }

    public void watch(
            EmulatorClient node,
            String prefix,
            long after,
            double holdS,
            Consumer<Store.WatchResult> answer) {
        PendingWatch x = new PendingWatch(node, prefix, after, answer);
        x.matched = true;
        watches.add(x);
        cluster.after(
                holdS,
                () -> {
                    if (watches.remove(x)) {
                        x.served(true);
                    }
                });
        if (!expiryCheckScheduled) {
            expireDueLeases();
        }
    }

    /**
     * The limits that it has from now on: bytes of a value, changes of a transaction; none at
     * first.
     */
    public int largestValueBytes = Integer.MAX_VALUE;

    public int largestTransactionOperations = Integer.MAX_VALUE;

    /** Transactions that were over them. */
    public int transactionsOverLimits;

    public Store.CommitResult execute(Store.Transaction transaction) {
        expire();
        if (transaction.writes().size() > largestTransactionOperations
                || transaction.conditions().size() > 4L * largestTransactionOperations
                || transaction.writes().stream()
                        .anyMatch(
                                x ->
                                        x.value() != null
                                                && JsonSize.sizeInBytes(x.value())
                                                        > largestValueBytes)) {
            transactionsOverLimits++;
            return new Store.CommitResult(Store.Outcome.INVALID, 0, List.of(), false);
        }
        if (transaction.writes().stream()
                .anyMatch(x -> x.leaseId() != 0 && !leaseExpiries.containsKey(x.leaseId()))) {
            return new Store.CommitResult(Store.Outcome.REJECTED, 0, List.of(), true);
        }
        List<String> failed = new ArrayList<>();
        for (Store.Condition condition : transaction.conditions()) {
            Store.Entry entry = entries.get(condition.key());
            if ((entry == null ? 0 : entry.revision()) != condition.revision()) {
                failed.add(condition.key());
            }
        }
        if (!failed.isEmpty()) {
            return new Store.CommitResult(Store.Outcome.REJECTED, 0, failed, false);
        }
        long r = transaction.writes().isEmpty() ? revision : ++revision;
        transaction.writes().forEach(w -> put(w.key(), w.value(), w.leaseId(), r));
        return new Store.CommitResult(Store.Outcome.OK, r, List.of(), false);
    }
}
