package io.kitepath.peers;

import io.kitepath.core.port.Store;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** A store that never serves. */
final class RefusingStore implements Store {
    @Override
    public void get(String key, BiConsumer<Outcome, Entry> answer) {
        answer.accept(Outcome.REFUSED, null);
    }

    @Override
    public void page(String prefix, String from, int limit, Consumer<ListResult> answer) {
        answer.accept(new ListResult(Outcome.REFUSED, List.of(), 0, false));
    }

    @Override
    public void commit(Transaction transaction, Consumer<CommitResult> answer) {
        answer.accept(new CommitResult(Outcome.REFUSED, 0, List.of(), false));
    }

    @Override
    public void grant(long lifeMs, BiConsumer<Outcome, Long> answer) {
        answer.accept(Outcome.REFUSED, null);
    }

    @Override
    public void renew(long lease, Consumer<Outcome> answer) {
        answer.accept(Outcome.REFUSED);
    }

    @Override
    public void revoke(long lease) {}

    @Override
    public void follow(String prefix, long after, long holdMs, Consumer<WatchResult> answer) {}
}
