package io.kitepath.simulation;

import io.kitepath.core.port.Store;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** One node's connection to the store. */
final class SimulatedStoreClient implements Store {
    private final SimulatedCluster cluster;
    private final InMemoryStore store;
    private final EmulatorClient node;

    SimulatedStoreClient(SimulatedCluster cluster, EmulatorClient node) {
        this.cluster = cluster;
        this.store = cluster.store;
        this.node = node;
    }

    /** Runs on the store a moment later, and the answer on the node a moment after that. */
    private void exchange(Runnable served, Runnable refused) {
        exchange(0, served, refused);
    }

    private void exchange(int writes, Runnable served, Runnable refused) {
        node.onRequest();
        node.onRequestSent();
        cluster.after(
                cluster.messageLatencySeconds(0.002) + store.extraLatencySeconds,
                () -> {
                    store.expire();
                    boolean no = store.unavailable || node.isRefused() || store.exceedsRate(writes);
                    (no ? refused : served).run();
                });
    }

    private void deliverResponse(Runnable r) {
        node.schedule(cluster.messageLatencySeconds(0.002), r);
    }

    @Override
    public void get(String key, BiConsumer<Outcome, Entry> answer) {
        exchange(
                () -> {
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
                    store.pagesRead++;
                    if (store.refusesPage.test(store.pagesRead)
                            || store.refusesPrefix.test(prefix)) {
                        deliverResponse(
                                () ->
                                        answer.accept(
                                                new ListResult(
                                                        Outcome.NOT_EXECUTED,
                                                        List.of(),
                                                        0,
                                                        false)));
                        return;
                    }
                    List<Entry> all =
                            store
                                    .entries
                                    .tailMap(from.isEmpty() ? prefix : from, from.isEmpty())
                                    .values()
                                    .stream()
                                    .filter(entry -> entry.key().startsWith(prefix))
                                    .toList();
                    long r = store.revision;
                    deliverResponse(
                            () ->
                                    answer.accept(
                                            new ListResult(
                                                    Outcome.OK,
                                                    all.subList(0, Math.min(limit, all.size())),
                                                    r,
                                                    all.size() > limit)));
                },
                () ->
                        deliverResponse(
                                () ->
                                        answer.accept(
                                                new ListResult(
                                                        Outcome.NOT_EXECUTED,
                                                        List.of(),
                                                        0,
                                                        false))));
    }

    @Override
    public void commit(Transaction transaction, Consumer<CommitResult> answer) {
        exchange(
                transaction.writes().size(),
                () -> {
                    boolean job =
                            transaction.writes().stream()
                                    .anyMatch(write -> write.key().startsWith("jobs/"));
                    if (job && store.transactionsToHold > 0 || store.holdsBack.test(transaction)) {
                        store.transactionsToHold -= store.transactionsToHold > 0 ? 1 : 0;
                        store.heldBackTransactions.add(transaction);
                        node.schedule(
                                0.5,
                                () ->
                                        answer.accept(
                                                new CommitResult(
                                                        Outcome.UNKNOWN, 0, List.of(), false)));
                        return;
                    }
                    double late =
                            transaction.writes().isEmpty()
                                    ? 0
                                    : store.executionDelaySeconds.applyAsDouble(transaction);
                    if (late > 0) {
                        cluster.after(
                                late,
                                () -> {
                                    if (!store.unavailable) {
                                        execute(transaction);
                                    }
                                });
                        node.schedule(
                                0.5,
                                () ->
                                        answer.accept(
                                                new CommitResult(
                                                        Outcome.UNKNOWN, 0, List.of(), false)));
                        return;
                    }
                    CommitResult result = execute(transaction);
                    if (job && store.responsesToLose > 0
                            || store.losesResponseOf.test(transaction)
                            || cluster.losesNextResponse.getAsBoolean()) {
                        store.responsesToLose -= job && store.responsesToLose > 0 ? 1 : 0;
                        node.schedule(
                                0.5,
                                () ->
                                        answer.accept(
                                                new CommitResult(
                                                        Outcome.UNKNOWN, 0, List.of(), false)));
                        return;
                    }
                    deliverResponse(() -> answer.accept(result));
                },
                () ->
                        deliverResponse(
                                () ->
                                        answer.accept(
                                                new CommitResult(
                                                        Outcome.NOT_EXECUTED,
                                                        0,
                                                        List.of(),
                                                        false))));
    }

    private CommitResult execute(Transaction transaction) {
        CommitResult result = store.execute(transaction);
        if (result.outcome() == Outcome.OK && !transaction.writes().isEmpty()) {
            store.writeCount += transaction.writes().size();
            store.onCommit.accept(node, transaction);
        }
        return result;
    }

    @Override
    public void grantLease(long lifeMs, BiConsumer<Outcome, Long> answer) {
        exchange(
                () -> {
                    long id = store.nextLease++;
                    store.leaseExpiries.put(id, cluster.clock.now + lifeMs / 1000.0);
                    store.leaseDurations.put(id, lifeMs / 1000.0);
                    deliverResponse(() -> answer.accept(Outcome.OK, id));
                },
                () -> deliverResponse(() -> answer.accept(Outcome.NOT_EXECUTED, null)));
    }

    @Override
    public void renewLease(long lease, Consumer<Outcome> answer) {
        exchange(
                () -> {
                    boolean there = store.leaseExpiries.containsKey(lease);
                    if (there) {
                        store.leaseExpiries.put(
                                lease, cluster.clock.now + store.leaseDurations.get(lease));
                    }
                    deliverResponse(() -> answer.accept(there ? Outcome.OK : Outcome.REJECTED));
                },
                () -> deliverResponse(() -> answer.accept(Outcome.NOT_EXECUTED)));
    }

    @Override
    public void revokeLease(long lease) {
        exchange(() -> store.endLease(lease), () -> {});
    }

    @Override
    public void watch(String prefix, long after, long holdMs, Consumer<WatchResult> answer) {
        if (store.exceedsRate(0)) {
            deliverResponse(
                    () -> answer.accept(new WatchResult(Outcome.NOT_EXECUTED, 0, List.of())));
            return;
        }
        store.watch(node, prefix, after, holdMs / 1000.0, answer);
    }
}
