package io.kitepath.simulation;

import io.kitepath.core.port.Store;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** One node's connection to the store. */
final class StoreLink implements Store {
    private final SimulatedCluster cluster;
    private final MemoryStore store;
    private final EmulatorClient node;

    StoreLink(SimulatedCluster cluster, EmulatorClient node) {
        this.cluster = cluster;
        this.store = cluster.store;
        this.node = node;
    }

    /** Runs on the store a moment later, and the answer on the node a moment after that. */
    private void exchange(Runnable served, Runnable refused) {
        exchange(0, served, refused);
    }

    private void exchange(int writes, Runnable served, Runnable refused) {
        node.asks();
        node.sends();
        cluster.after(
                cluster.takes(0.002) + store.slowS,
                () -> {
                    store.expire();
                    boolean no = store.out || node.refused() || store.tooMany(writes);
                    (no ? refused : served).run();
                });
    }

    private void back(Runnable r) {
        node.schedule(cluster.takes(0.002), r);
    }

    @Override
    public void get(String key, BiConsumer<Outcome, Entry> answer) {
        exchange(
                () -> {
                    Entry entry = store.keys.get(key);
                    back(() -> answer.accept(entry == null ? Outcome.REJECTED : Outcome.OK, entry));
                },
                () -> back(() -> answer.accept(Outcome.NOT_EXECUTED, null)));
    }

    @Override
    public void list(String prefix, String from, int limit, Consumer<ListResult> answer) {
        exchange(
                () -> {
                    store.pages++;
                    if (store.refusePage.test(store.pages) || store.refusePrefix.test(prefix)) {
                        back(
                                () ->
                                        answer.accept(
                                                new ListResult(
                                                        Outcome.NOT_EXECUTED, List.of(), 0, false)));
                        return;
                    }
                    List<Entry> all =
                            store
                                    .keys
                                    .tailMap(from.isEmpty() ? prefix : from, from.isEmpty())
                                    .values()
                                    .stream()
                                    .filter(entry -> entry.key().startsWith(prefix))
                                    .toList();
                    long r = store.revision;
                    back(
                            () ->
                                    answer.accept(
                                            new ListResult(
                                                    Outcome.OK,
                                                    all.subList(0, Math.min(limit, all.size())),
                                                    r,
                                                    all.size() > limit)));
                },
                () ->
                        back(
                                () ->
                                        answer.accept(
                                                new ListResult(
                                                        Outcome.NOT_EXECUTED, List.of(), 0, false))));
    }

    @Override
    public void commit(Transaction transaction, Consumer<CommitResult> answer) {
        exchange(
                transaction.writes().size(),
                () -> {
                    boolean job =
                            transaction.writes().stream()
                                    .anyMatch(write -> write.key().startsWith("jobs/"));
                    if (job && store.hold > 0 || store.withheld.test(transaction)) {
                        store.hold -= store.hold > 0 ? 1 : 0;
                        store.heldBack.add(transaction);
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
                                    : store.late.applyAsDouble(transaction);
                    if (late > 0) {
                        cluster.after(
                                late,
                                () -> {
                                    if (!store.out) {
                                        carryOut(transaction);
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
                    CommitResult result = carryOut(transaction);
                    if (job && store.swallow > 0
                            || store.unheard.test(transaction)
                            || cluster.losesAnswer.getAsBoolean()) {
                        store.swallow -= job && store.swallow > 0 ? 1 : 0;
                        node.schedule(
                                0.5,
                                () ->
                                        answer.accept(
                                                new CommitResult(
                                                        Outcome.UNKNOWN, 0, List.of(), false)));
                        return;
                    }
                    back(() -> answer.accept(result));
                },
                () ->
                        back(
                                () ->
                                        answer.accept(
                                                new CommitResult(
                                                        Outcome.NOT_EXECUTED, 0, List.of(), false))));
    }

    private CommitResult carryOut(Transaction transaction) {
        CommitResult result = store.execute(transaction);
        if (result.outcome() == Outcome.OK && !transaction.writes().isEmpty()) {
            store.changes += transaction.writes().size();
            store.written.accept(node, transaction);
        }
        return result;
    }

    @Override
    public void grantLease(long lifeMs, BiConsumer<Outcome, Long> answer) {
        exchange(
                () -> {
                    long id = store.nextLease++;
                    store.leases.put(id, cluster.clock.now + lifeMs / 1000.0);
                    store.life.put(id, lifeMs / 1000.0);
                    back(() -> answer.accept(Outcome.OK, id));
                },
                () -> back(() -> answer.accept(Outcome.NOT_EXECUTED, null)));
    }

    @Override
    public void renewLease(long lease, Consumer<Outcome> answer) {
        exchange(
                () -> {
                    boolean there = store.leases.containsKey(lease);
                    if (there) {
                        store.leases.put(lease, cluster.clock.now + store.life.get(lease));
                    }
                    back(() -> answer.accept(there ? Outcome.OK : Outcome.REJECTED));
                },
                () -> back(() -> answer.accept(Outcome.NOT_EXECUTED)));
    }

    @Override
    public void revokeLease(long lease) {
        exchange(() -> store.end(lease), () -> {});
    }

    @Override
    public void watch(String prefix, long after, long holdMs, Consumer<WatchResult> answer) {
        if (store.tooMany(0)) {
            back(() -> answer.accept(new WatchResult(Outcome.NOT_EXECUTED, 0, List.of())));
            return;
        }
        store.follow(node, prefix, after, holdMs / 1000.0, answer);
    }
}
