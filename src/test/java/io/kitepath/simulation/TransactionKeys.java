package io.kitepath.simulation;

import io.kitepath.core.port.Store.Transaction;

/**
 * Which keys a transaction writes or removes, for tests that let the store fail at some of them.
 */
public final class TransactionKeys {
    private TransactionKeys() {}

    /** Whether the transaction writes or removes that key. */
    public static boolean writes(Transaction transaction, String key) {
        return transaction.writes().stream().anyMatch(write -> write.key().equals(key));
    }

    /** Whether the transaction writes or removes a key that begins so. */
    public static boolean writesUnder(Transaction transaction, String prefix) {
        return transaction.writes().stream().anyMatch(write -> write.key().startsWith(prefix));
    }
}
