package io.kitepath.core.state;

/**
 * Limits the number of writes in one transaction. Starts at the configured limit, drops to half the
 * size of a transaction that the store rejects as invalid, and grows by one write with each
 * committed transaction, up to one write less than the smallest invalid transaction.
 */
final class BatchSizeLimit {
    /** An ended job takes two writes, which have to be in one transaction. */
    private static final int MIN_WRITES = 2;

    private static final int NO_INVALID_TRANSACTION = Integer.MAX_VALUE;

    private final int configuredMaxWrites;
    private int maxWrites;

    /** Number of writes in the smallest transaction that was invalid. */
    private int smallestInvalidWrites = NO_INVALID_TRANSACTION;

    BatchSizeLimit(int configuredMaxWrites) {
        this.configuredMaxWrites = configuredMaxWrites;
        this.maxWrites = configuredMaxWrites;
    }

    int maxWrites() {
        return maxWrites;
    }

    void onCommitted() {
        maxWrites =
                Math.min(Math.min(configuredMaxWrites, smallestInvalidWrites - 1), maxWrites + 1);
    }

    /** Handles the rejection of a transaction of several writes as invalid. */
    void onInvalid(int writes) {
        smallestInvalidWrites = Math.min(smallestInvalidWrites, writes);
        maxWrites = Math.max(MIN_WRITES, writes / 2);
    }

    /**
     * Handles the rejection of a single record as invalid. That record may also have caused the
     * earlier rejections, so the size that they suggested is discarded.
     */
    void onSingleRecordInvalid() {
        smallestInvalidWrites = NO_INVALID_TRANSACTION;
    }
}
