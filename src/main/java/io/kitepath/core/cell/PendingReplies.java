package io.kitepath.core.cell;

import io.kitepath.core.model.CellMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Messages of other cells whose answer depends on a record that is being written. An answer is sent
 * only after the commit, because a crash before it would take the answer back; a message that is
 * repeated in the meantime waits for the same commit.
 *
 * @param <K> identifies the exchange
 */
final class PendingReplies<K> {
    private final Map<K, List<Consumer<CellMessage>>> waiting = new HashMap<>();

    boolean contains(K exchange) {
        return waiting.containsKey(exchange);
    }

    /** Adds one to those who wait, if any do. */
    void add(K exchange, Consumer<CellMessage> reply) {
        waiting.computeIfAbsent(exchange, key -> new ArrayList<>()).add(reply);
    }

    /** Sends everyone who waits for this exchange an answer of its own, in order of arrival. */
    void complete(K exchange, Supplier<CellMessage> answer) {
        List<Consumer<CellMessage>> replies = waiting.remove(exchange);
        if (replies != null) {
            replies.forEach(reply -> reply.accept(answer.get()));
        }
    }

    /** Forgets everyone: a new leader has received none of these messages. */
    void clear() {
        waiting.clear();
    }

    /** The exchanges with someone waiting, sorted. */
    @Override
    public String toString() {
        return new TreeSet<>(waiting.keySet()).toString();
    }
}
