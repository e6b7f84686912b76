package io.kitepath.core.port;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The state service, the only place where anything lasts. Answers come later, on the event loop.
 */
public interface Store {
    /**
     * NO is a definite answer; REFUSED means it was not executed; UNKNOWN that it may have been, or
     * still will; INVALID that it was not and never will be, as when it is larger than the limits
     * are by now.
     */
    enum Outcome {
        OK,
        REJECTED,
        NOT_EXECUTED,
        UNKNOWN,
        INVALID
    }

    record Entry(String key, Object value, long revision) {}

    /** An entry with a null value was removed at that revision. */
    record WatchResult(Outcome outcome, long revision, List<Entry> events) {}

    /** {@code hasMore}: there are further entries after the last one. */
    record ListResult(Outcome outcome, List<Entry> entries, long revision, boolean hasMore) {}

    /** {@code failedKeys} names the keys whose conditions did not hold. */
    record CommitResult(
            Outcome outcome, long revision, List<String> failedKeys, boolean isLeaseExpired) {}

    record Condition(String key, long revision) {}

    /** A null value removes the key; lease 0: none. */
    record Write(String key, Object value, long leaseId) {}

    /** All or nothing, if every condition holds. */
    record Transaction(List<Condition> conditions, List<Write> writes) {
        public Transaction() {
            this(new ArrayList<>(), new ArrayList<>());
        }

        public Transaction requireRevision(String key, long revision) {
            conditions.add(new Condition(key, revision));
            return this;
        }

        public Transaction put(String key, Object value) {
            return put(key, value, 0);
        }

        public Transaction put(String key, Object value, long lease) {
            writes.add(new Write(key, value, lease));
            return this;
        }

        public Transaction remove(String key) {
            writes.add(new Write(key, null, 0));
            return this;
        }
    }

    /** OK with the entry, or NO if there is none. */
    void get(String key, BiConsumer<Outcome, Entry> answer);

    /**
     * What is under the prefix after the key {@code from} (empty: from the start), in the keys'
     * order.
     */
    void list(String prefix, String from, int limit, Consumer<ListResult> answer);

    void commit(Transaction transaction, Consumer<CommitResult> answer);

    /** OK with the lease's id. */
    void grantLease(long lifeMs, BiConsumer<Outcome, Long> answer);

    /** NO: the lease is over. */
    void renewLease(long lease, Consumer<Outcome> answer);

    void revokeLease(long lease);

    /** Waits for changes after the revision; NO if it is too old to follow from. */
    void watch(String prefix, long after, long holdMs, Consumer<WatchResult> answer);
}
