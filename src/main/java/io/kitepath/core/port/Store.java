package io.kitepath.core.port;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The state service: a key-value store with revisions, transactions, leases and watches, and the
 * only place where anything lasts. Answers come later, on the event loop.
 */
public interface Store {
    /** The outcome of a request to the store or the cloud. */
    enum Outcome {
        /** Executed. */
        OK,
        /**
         * A definite negative answer: there is no such entry or lease, a condition does not hold,
         * there is no capacity; each method says which.
         */
        REJECTED,
        /** Not executed, and it never will be; it may be tried again. */
        NOT_EXECUTED,
        /** It may have been executed, or still will be. */
        UNKNOWN,
        /** Not executed, and the same request never will be: it is over the limits of now. */
        INVALID
    }

    /**
     * An entry.
     *
     * @param value a document of plain values
     * @param revision the store's revision when it was last written
     */
    record Entry(String key, Object value, long revision) {}

    /**
     * Changes under a prefix.
     *
     * @param revision up to which the changes are complete
     * @param events in their order; an entry with a null value was removed at its revision
     */
    record WatchResult(Outcome outcome, long revision, List<Entry> events) {}

    /**
     * A page of entries.
     *
     * @param entries in the order of their keys
     * @param revision the store's revision when they were read
     * @param hasMore whether there are further entries after the last one
     */
    record ListResult(Outcome outcome, List<Entry> entries, long revision, boolean hasMore) {}

    /**
     * The result of a transaction. REJECTED: a condition does not hold, or a lease has expired.
     *
     * @param revision that its writes have
     * @param failedKeys the keys whose conditions do not hold
     * @param isLeaseExpired whether a lease that a write was to be attached to has expired
     */
    record CommitResult(
            Outcome outcome, long revision, List<String> failedKeys, boolean isLeaseExpired) {}

    /** A key has to have that revision; 0: it must not exist. */
    record Condition(String key, long revision) {}

    /**
     * A write of one key.
     *
     * @param value null: removes the key
     * @param leaseId the store removes the key when this lease ends; 0: none
     */
    record Write(String key, Object value, long leaseId) {}

    /** Writes that are executed all or none: all if every condition holds. */
    record Transaction(List<Condition> conditions, List<Write> writes) {
        /** An empty transaction, to be added to. */
        public Transaction() {
            this(new ArrayList<>(), new ArrayList<>());
        }

        /** Adds a condition: the key has to have that revision; 0: it must not exist. */
        public Transaction requireRevision(String key, long revision) {
            conditions.add(new Condition(key, revision));
            return this;
        }

        /** Adds a write that no lease ends. */
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

    /** Reads an entry. REJECTED: there is none. */
    void get(String key, BiConsumer<Outcome, Entry> answer);

    /**
     * Reads entries under a prefix, in the order of their keys.
     *
     * @param after the key after which to start; empty: at the first
     * @param limit how many at most
     */
    void list(String prefix, String after, int limit, Consumer<ListResult> answer);

    /** Executes a transaction; one without writes only compares. */
    void commit(Transaction transaction, Consumer<CommitResult> answer);

    /** Asks for a lease that lasts this long unless it is renewed; answers with its id. */
    void grantLease(long durationMillis, BiConsumer<Outcome, Long> answer);

    /** Gives a lease its full time again. REJECTED: it has expired. */
    void renewLease(long leaseId, Consumer<Outcome> answer);

    /** Ends a lease at once, as far as the store can be reached. */
    void revokeLease(long leaseId);

    /**
     * Waits for changes under a prefix. REJECTED: the revision is too old to watch from.
     *
     * @param afterRevision changes after this one are waited for
     * @param holdMillis for how long the store waits before it answers that there are none
     */
    void watch(String prefix, long afterRevision, long holdMillis, Consumer<WatchResult> answer);
}
