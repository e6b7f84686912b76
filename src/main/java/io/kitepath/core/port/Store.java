package io.kitepath.core.port;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The state service: a key-value store with revisions, transactions, leases and watches. It is the
 * only durable storage. Responses arrive asynchronously on the event loop.
 */
public interface Store {
    /** The outcome of a request to the store or the cloud. */
    enum Outcome {
        /** The request was executed. */
        OK,
        /**
         * The request was definitely rejected: the entry or lease does not exist, a condition does
         * not hold, or there is no capacity. Each method documents its reasons.
         */
        REJECTED,
        /** The request was not executed and never will be; it may be retried. */
        NOT_EXECUTED,
        /** The request may have been executed, or may be executed later. */
        UNKNOWN,
        /**
         * The request was not executed and must not be retried unchanged: it exceeds the current
         * limits.
         */
        INVALID
    }

    /**
     * An entry of the store.
     *
     * @param value a document of plain values
     * @param revision the store's revision of the last write to the key
     */
    record Entry(String key, Object value, long revision) {}

    /**
     * Changes under a prefix.
     *
     * @param revision the revision up to which the changes are complete
     * @param events the changes in their order; an entry with a null value was removed at its
     *     revision
     */
    record WatchResult(Outcome outcome, long revision, List<Entry> events) {}

    /**
     * A page of entries.
     *
     * @param entries the entries in the order of their keys
     * @param revision the store's revision at which the entries were read
     * @param hasMore whether there are further entries after this page
     */
    record ListResult(Outcome outcome, List<Entry> entries, long revision, boolean hasMore) {}

    /**
     * The result of a transaction. REJECTED: a condition does not hold, or a lease has expired.
     *
     * @param revision the revision of the transaction's writes
     * @param failedKeys the keys whose conditions do not hold
     * @param isLeaseExpired whether a lease to which a write should be attached has expired
     */
    record CommitResult(
            Outcome outcome, long revision, List<String> failedKeys, boolean isLeaseExpired) {}

    /** Requires a key to have the revision; 0: the key must not exist. */
    record Condition(String key, long revision) {}

    /**
     * A write of one key.
     *
     * @param value the new value, or null to remove the key
     * @param leaseId the lease at whose end the store removes the key; 0: none
     */
    record Write(String key, Object value, long leaseId) {}

    /** Writes that are executed atomically if every condition holds; otherwise none is executed. */
    record Transaction(List<Condition> conditions, List<Write> writes) {
        /** Creates an empty transaction to which conditions and writes can be added. */
        public Transaction() {
            this(new ArrayList<>(), new ArrayList<>());
        }

        /** Adds a condition that the key has the revision; 0: the key must not exist. */
        public Transaction requireRevision(String key, long revision) {
            conditions.add(new Condition(key, revision));
            return this;
        }

        /** Adds a write without a lease. */
        public Transaction put(String key, Object value) {
            return put(key, value, 0);
        }

        /** Adds a write whose key is removed when the lease ends. */
        public Transaction put(String key, Object value, long leaseId) {
            writes.add(new Write(key, value, leaseId));
            return this;
        }

        /** Adds the removal of a key. */
        public Transaction remove(String key) {
            writes.add(new Write(key, null, 0));
            return this;
        }
    }

    /** Reads an entry. REJECTED: it does not exist. */
    void get(String key, BiConsumer<Outcome, Entry> callback);

    /**
     * Reads entries under a prefix, in the order of their keys.
     *
     * @param afterKey the key after which to start; empty: starts at the first key
     * @param limit the maximum number of entries
     */
    void list(String prefix, String afterKey, int limit, Consumer<ListResult> callback);

    /** Executes a transaction. A transaction without writes only checks its conditions. */
    void commit(Transaction transaction, Consumer<CommitResult> callback);

    /**
     * Requests a lease that expires after this time unless it is renewed. The response is its id.
     */
    void grantLease(long durationMillis, BiConsumer<Outcome, Long> callback);

    /** Renews a lease for its full duration. REJECTED: it has expired. */
    void renewLease(long leaseId, Consumer<Outcome> callback);

    /** Ends a lease immediately, provided that the store can be reached. */
    void revokeLease(long leaseId);

    /**
     * Waits for changes under a prefix. REJECTED: the revision is too old to watch from.
     *
     * @param afterRevision the revision after which changes are reported
     * @param holdMillis how long the store waits before it responds that there are no changes
     */
    void watch(String prefix, long afterRevision, long holdMillis, Consumer<WatchResult> callback);
}
