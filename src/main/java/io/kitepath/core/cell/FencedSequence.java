package io.kitepath.core.cell;

import io.kitepath.core.shard.ShardState;

/**
 * Numbers for what this cell hands to others, never given twice: the leader's fencing token in the
 * upper bits, a counter below it. A later leader has a greater token, so its numbers are greater
 * than all of its predecessors'.
 */
final class FencedSequence {
    private static final int COUNTER_BITS = 20;

    private final ShardState shard;
    private long counter;

    FencedSequence(ShardState shard) {
        this.shard = shard;
    }

    /** The number that {@link #next} would return; all that exist are below it. */
    long peekNext() {
        return (shard.fencingToken() << COUNTER_BITS) + counter + 1;
    }

    long next() {
        return (shard.fencingToken() << COUNTER_BITS) + ++counter;
    }

    /** Whether the counter would soon run into the bits of the fencing token. */
    boolean isExhausted() {
        return counter + 2 >= 1L << COUNTER_BITS;
    }
}
