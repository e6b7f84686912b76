package io.kitepath.core.state;

/**
 * How many writes one transaction may carry. Starts at the configured limit, is halved when the
 * store answers that a transaction is invalid, and grows by one write with each committed
 * transaction, up to just below the smallest invalid transaction.
 */
final class BatchSizeLimit {
    /** An ended job takes two writes, which can't be divided. */
    private static final int MIN_WRITES = 2;

    private static final int NONE_INVALID = Integer.MAX_VALUE;

    private final int configuredWrites;
    private int maxWrites;

    /** Writes in the smallest transaction that was invalid. */
    private int smallestInvalid = NONE_INVALID;

    BatchSizeLimit(int configuredWrites) {
        this.configuredWrites = configuredWrites;
        this.maxWrites = configuredWrites;
    }

    int maxWrites() {
        return maxWrites;
    }

    void onCommitted() {
        maxWrites = Math.min(Math.min(configuredWrites, smallestInvalid - 1), maxWrites + 1);
    }

    /** A transaction of several writes was invalid. */
    void onInvalid(int writes) {
        smallestInvalid = Math.min(smallestInvalid, writes);
        maxWrites = Math.max(MIN_WRITES, writes / 2);
    }

    /** A single record was invalid, which may have been the cause of the earlier answers too. */
    void onSingleRecordInvalid() {
        smallestInvalid = NONE_INVALID;
    }
}
