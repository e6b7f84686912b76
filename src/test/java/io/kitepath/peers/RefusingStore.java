package io.kitepath.peers;

import io.kitepath.core.port.Store;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** A store that never serves. */
final class RefusingStore implements Store {
    @Override
    public void get(String key, BiConsumer<Outcome, Entry> answer) {
        answer.accept(Outcome.NOT_EXECUTED, null);
    }

    @Override
    public void list(String prefix, String from, int limit, Consumer<ListResult> answer) {
        answer.accept(new ListResult(Outcome.NOT_EXECUTED, List.of(), 0, false));
    }

    @Override
    public void commit(Transaction transaction, Consumer<CommitResult> answer) {
        answer.accept(new CommitResult(Outcome.NOT_EXECUTED, 0, List.of(), false));
    }

    @Override
    public void grantLease(long lifeMs, BiConsumer<Outcome, Long> answer) {
        answer.accept(Outcome.NOT_EXECUTED, null);
    }

    @Override
    public void renewLease(long lease, Consumer<Outcome> answer) {
        answer.accept(Outcome.NOT_EXECUTED);
    }

    @Override
    public void revokeLease(long lease) {}

    @Override
    public void watch(String prefix, long after, long holdMs, Consumer<WatchResult> answer) {}
}
