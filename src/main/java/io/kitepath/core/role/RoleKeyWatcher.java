package io.kitepath.core.role;

import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.ListResult;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.WatchResult;
import io.kitepath.core.port.Timers;
import io.kitepath.core.state.PagedScan;
import io.kitepath.core.state.StoreKeys;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Reads the keys of all roles and watches them from the revision that was read.
 *
 * <p>Only the latest read counts. The late response to an earlier read is outdated, and each read
 * would start a watch of its own until no connection is left for other requests.
 */
final class RoleKeyWatcher {
    /** Maximum number of attempts to read a page of keys. */
    private static final int MAX_PAGE_ATTEMPTS = 3;

    /** Spreads the nodes' reads after a failure. */
    private static final double FAILURE_JITTER_SECONDS = 0.3;

    /** Spreads the nodes' reads after a failed claim. */
    private static final double CLAIM_RETRY_JITTER_SECONDS = 0.1;

    /**
     * Receives the state of the roles' keys. May receive the same state twice, and old revisions.
     */
    interface Listener {
        /** Called when the key was absent at that revision. */
        void onKeyAbsent(String key, long revision);

        /** Called when the key was present at the entry's revision. */
        void onKeyPresent(Entry entry);
    }

    private final Store store;
    private final Timers timers;
    private final Random random;
    private final double leaseSeconds;
    private final Set<String> keys;
    private final Listener listener;
    private boolean isStopped;
    private long latestReadNumber;

    /** {@code keys}: of the roles, in the order in which the listener receives them. */
    RoleKeyWatcher(RoleContext context, Set<String> keys, Listener listener) {
        this.store = context.store();
        this.timers = context.timers();
        this.random = context.random();
        this.leaseSeconds = context.leaseSeconds();
        this.keys = new LinkedHashSet<>(keys);
        this.listener = listener;
    }

    /** Starts no further reads and ignores pending responses of the watch. */
    void stop() {
        isStopped = true;
    }

    boolean isStopped() {
        return isStopped;
    }

    /** Reads all keys and then watches them. */
    void read() {
        long readNumber = ++latestReadNumber;
        if (isStopped) {
            return;
        }
        PagedScan.read(
                store,
                timers,
                StoreKeys.ROLES,
                MAX_PAGE_ATTEMPTS,
                listing -> onKeysListed(readNumber, listing));
    }

    /** Reads all keys after a delay in which the store may recover. */
    void readLater() {
        timers.schedule(
                leaseSeconds / 4 + random.nextDouble() * FAILURE_JITTER_SECONDS, this::read);
    }

    /** Reads all keys after a short jitter, because they have just changed. */
    void readSoon() {
        timers.schedule(random.nextDouble() * CLAIM_RETRY_JITTER_SECONDS, this::read);
    }

    private void onKeysListed(long readNumber, ListResult listing) {
        if (readNumber != latestReadNumber) {
            return;
        }
        if (listing.outcome() != Outcome.OK) {
            readLater();
            return;
        }
        Map<String, Entry> entries = new LinkedHashMap<>();
        listing.entries().forEach(entry -> entries.put(entry.key(), entry));
        for (String key : keys) {
            Entry entry = entries.get(key);
            if (entry == null) {
                listener.onKeyAbsent(key, listing.revision());
            } else {
                listener.onKeyPresent(entry);
            }
        }
        watch(readNumber, listing.revision());
    }

    private void watch(long readNumber, long afterRevision) {
        store.watch(
                StoreKeys.ROLES,
                afterRevision,
                (long) (leaseSeconds * 2000),
                changes -> onKeysChanged(readNumber, afterRevision, changes));
    }

    private void onKeysChanged(long readNumber, long afterRevision, WatchResult changes) {
        if (readNumber != latestReadNumber || isStopped) {
            return;
        }
        if (changes.outcome() != Outcome.OK) {
            readLater();
            return;
        }
        for (Entry entry : changes.events()) {
            if (keys.contains(entry.key())) {
                if (entry.value() == null) {
                    listener.onKeyAbsent(entry.key(), entry.revision());
                } else {
                    listener.onKeyPresent(entry);
                }
            }
        }
        if (changes.events().isEmpty()) {
            // There was no change in two lease times; one may have been missed during an outage.
            read();
        } else {
            watch(readNumber, Math.max(afterRevision, changes.revision()));
        }
    }
}
