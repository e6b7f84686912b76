package io.kitepath.peers;

import io.netty.channel.Channel;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Requests that wait for their reply. Each callback is called once: with the reply, or with a
 * fallback value if the request is given up. For use on one event loop only.
 */
final class PendingRequests<T> {
    private record Pending<T>(Channel channel, Consumer<T> callback) {}

    private final Map<Long, Pending<T>> pendingById = new LinkedHashMap<>();
    private final int limit;
    private final T fallback;

    /**
     * @param limit how many requests may wait at a time
     * @param fallback what a request that is given up is answered with
     */
    PendingRequests(int limit, T fallback) {
        this.limit = limit;
        this.fallback = fallback;
    }

    boolean isFull() {
        return pendingById.size() >= limit;
    }

    /** Adds a request that was sent on the channel. */
    void add(long requestId, Channel channel, Consumer<T> callback) {
        pendingById.put(requestId, new Pending<>(channel, callback));
    }

    /** Answers the request, unless it has been answered or given up already. */
    void complete(long requestId, T reply) {
        Pending<T> pending = pendingById.remove(requestId);
        if (pending != null) {
            pending.callback.accept(reply);
        }
    }

    /** Answers the request with the fallback, unless it has been answered already. */
    void giveUp(long requestId) {
        complete(requestId, fallback);
    }

    /**
     * Gives up what was sent on a channel that is closed now. The process that was asked may be
     * gone, and the one that takes its place under its name a fraction of a second later has never
     * heard of these requests, so that they would wait for nothing.
     */
    void giveUpAllOn(Channel channel) {
        // A callback may add or complete requests, so the ids are collected first.
        List<Long> lost =
                pendingById.entrySet().stream()
                        .filter(entry -> entry.getValue().channel == channel)
                        .map(Map.Entry::getKey)
                        .toList();
        lost.forEach(this::giveUp);
    }
}
