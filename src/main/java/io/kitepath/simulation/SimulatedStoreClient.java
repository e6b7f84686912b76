package io.kitepath.simulation;

import io.kitepath.core.port.Store;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * One client's connection to the {@link InMemoryStore}, with its latency, and with the faults that
 * the store's and the cluster's fields ask for. A commit whose response is lost is answered with an
 * unknown outcome after the client's timeout.
 */
final class SimulatedStoreClient implements Store {
    private static final double ONE_WAY_SECONDS = 0.002;
    private static final double COMMIT_TIMEOUT_SECONDS = 0.5;
    private static final double MILLIS_PER_SECOND = 1000.0;

    private static final ListResult LIST_REFUSED =
            new ListResult(Outcome.NOT_EXECUTED, List.of(), 0, false);
    private static final CommitResult COMMIT_REFUSED =
            new CommitResult(Outcome.NOT_EXECUTED, 0, List.of(), false);
    private static final CommitResult COMMIT_UNKNOWN =
            new CommitResult(Outcome.UNKNOWN, 0, List.of(), false);

    private final SimulatedCluster cluster;
    private final InMemoryStore store;
    private final EmulatorClient client;

    SimulatedStoreClient(SimulatedCluster cluster, EmulatorClient client) {
        this.cluster = cluster;
        this.store = cluster.store;
        this.client = client;
    }

    /** Sends a request; on arrival the store executes it, or refuses it. */
    private void exchange(Runnable execute, Runnable refuse) {
        exchange(0, execute, refuse);
    }

    private void exchange(int writes, Runnable execute, Runnable refuse) {
        client.onRequest();
        client.onRequestSent();
        cluster.after(
                cluster.messageLatencySeconds(ONE_WAY_SECONDS) + store.extraLatencySeconds,
                () -> {
                    store.expire();
                    boolean isRefused =
                            store.unavailable || client.isRefused() || store.exceedsRate(writes);
                    (isRefused ? refuse : execute).run();
                });
    }

    private void deliverResponse(Runnable response) {
        client.schedule(cluster.messageLatencySeconds(ONE_WAY_SECONDS), response);
    }

    @Override
    public void get(String key, BiConsumer<Outcome, Entry> answer) {
        exchange(
                () -> {
                    if (store.refusesRead.test(key)) {
                        deliverResponse(() -> answer.accept(Outcome.NOT_EXECUTED, null));
                        return;
                    }
                    Entry entry = store.entries.get(key);
                    deliverResponse(
                            () ->
                                    answer.accept(
                                            entry == null ? Outcome.REJECTED : Outcome.OK, entry));
                },
                () -> deliverResponse(() -> answer.accept(Outcome.NOT_EXECUTED, null)));
    }

    @Override
    public void list(String prefix, String from, int limit, Consumer<ListResult> answer) {
        exchange(
                () -> {
                    ListResult page = page(prefix, from, limit);
                    deliverResponse(() -> answer.accept(page));
                },
                () -> deliverResponse(() -> answer.accept(LIST_REFUSED)));
    }

    private ListResult page(String prefix, String from, int limit) {
        store.pagesRead++;
        if (store.refusesPage.test(store.pagesRead) || store.refusesPrefix.test(prefix)) {
            return LIST_REFUSED;
        }
        boolean isFirstPage = from.isEmpty();
        List<Entry> all =
                store.entries.tailMap(isFirstPage ? prefix : from, isFirstPage).values().stream()
                        .filter(entry -> entry.key().startsWith(prefix))
                        .toList();
        return new ListResult(
                Outcome.OK,
                all.subList(0, Math.min(limit, all.size())),
                store.revision,
                all.size() > limit);
    }

    @Override
    public void commit(Transaction transaction, Consumer<CommitResult> answer) {
        exchange(
                transaction.writes().size(),
                () -> receive(transaction, answer),
                () -> deliverResponse(() -> answer.accept(COMMIT_REFUSED)));
    }

    /** A transaction has reached the store: it is held back, executed late, or executed now. */
    private void receive(Transaction transaction, Consumer<CommitResult> answer) {
        boolean writesJobs =
                transaction.writes().stream().anyMatch(write -> write.key().startsWith("jobs/"));
        if (writesJobs && store.transactionsToHold > 0 || store.holdsBack.test(transaction)) {
            store.transactionsToHold -= store.transactionsToHold > 0 ? 1 : 0;
            store.heldBackTransactions.add(transaction);
            timeOut(answer);
            return;
        }
        double delay =
                transaction.writes().isEmpty()
                        ? 0
                        : store.executionDelaySeconds.applyAsDouble(transaction);
        if (delay > 0) {
            cluster.after(delay, () -> executeIfAvailable(transaction));
            timeOut(answer);
            return;
        }
        CommitResult result = execute(transaction);
        if (writesJobs && store.responsesToLose > 0
                || store.losesResponseOf.test(transaction)
                || cluster.losesNextResponse.getAsBoolean()) {
            store.responsesToLose -= writesJobs && store.responsesToLose > 0 ? 1 : 0;
            timeOut(answer);
            return;
        }
        deliverResponse(() -> answer.accept(result));
    }

    private void timeOut(Consumer<CommitResult> answer) {
        client.schedule(COMMIT_TIMEOUT_SECONDS, () -> answer.accept(COMMIT_UNKNOWN));
    }

    private void executeIfAvailable(Transaction transaction) {
        if (!store.unavailable) {
            execute(transaction);
        }
    }

    private CommitResult execute(Transaction transaction) {
        CommitResult result = store.execute(transaction);
        if (result.outcome() == Outcome.OK && !transaction.writes().isEmpty()) {
            store.writeCount += transaction.writes().size();
            store.onCommit.accept(client, transaction);
        }
        return result;
    }

    @Override
    public void grantLease(long lifeMillis, BiConsumer<Outcome, Long> answer) {
        exchange(
                () -> {
                    long id = store.nextLease++;
                    store.leaseExpiries.put(id, cluster.clock.now + lifeMillis / MILLIS_PER_SECOND);
                    store.leaseDurations.put(id, lifeMillis / MILLIS_PER_SECOND);
                    deliverResponse(() -> answer.accept(Outcome.OK, id));
                },
                () -> deliverResponse(() -> answer.accept(Outcome.NOT_EXECUTED, null)));
    }

    @Override
    public void renewLease(long lease, Consumer<Outcome> answer) {
        exchange(
                () -> {
                    boolean exists = store.leaseExpiries.containsKey(lease);
                    if (exists) {
                        store.leaseExpiries.put(
                                lease, cluster.clock.now + store.leaseDurations.get(lease));
                    }
                    deliverResponse(() -> answer.accept(exists ? Outcome.OK : Outcome.REJECTED));
                },
                () -> deliverResponse(() -> answer.accept(Outcome.NOT_EXECUTED)));
    }

    @Override
    public void revokeLease(long lease) {
        exchange(() -> store.endLease(lease), () -> {});
    }

    @Override
    public void watch(String prefix, long after, long holdMillis, Consumer<WatchResult> answer) {
        if (store.exceedsRate(0)) {
            deliverResponse(
                    () -> answer.accept(new WatchResult(Outcome.NOT_EXECUTED, 0, List.of())));
            return;
        }
        store.watch(client, prefix, after, holdMillis / MILLIS_PER_SECOND, answer);
    }
}
