package io.kitepath.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class BatchSizeLimitTest {
    private final BatchSizeLimit limit = new BatchSizeLimit(40);

    private void commit(int transactions) {
        for (int i = 0; i < transactions; i++) {
            limit.onCommitted();
        }
    }

    @Test
    void keepsConfiguredLimitWithoutInvalidTransactions() {
        commit(3);
        assertEquals(40, limit.maxWrites());
    }

    @Test
    void halvesLimitAfterInvalidTransactionAndGrowsToOneWriteBelowItsSize() {
        limit.onInvalid(30);
        assertEquals(15, limit.maxWrites());
        commit(1);
        assertEquals(16, limit.maxWrites());
        commit(100);
        assertEquals(29, limit.maxWrites());
    }

    @Test
    void keepsTwoWritesForAnEndedJobAfterInvalidTransactionOfThreeWrites() {
        limit.onInvalid(3);
        assertEquals(2, limit.maxWrites());
    }

    @Test
    void growsToConfiguredLimitAfterInvalidSingleRecord() {
        limit.onInvalid(30);
        limit.onSingleRecordInvalid();
        commit(100);
        assertEquals(40, limit.maxWrites());
    }
}
