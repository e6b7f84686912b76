package io.kitepath.core.state;

import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.ListResult;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads all records under a prefix, page by page, and retries each page that could not be read.
 * Guards against restarting the whole scan for each such page: under a high request load on the
 * state service, a new leader would never finish reading its jobs. Runs on the event loop.
 */
public final class PagedScan {
    private static final int PAGE_SIZE = 500;

    /** Delay before a page is read again, multiplied by the attempt up to the maximum. */
    private static final double RETRY_STEP_SECONDS = 0.1;

    private static final double MAX_RETRY_SECONDS = 1;

    private final Store store;
    private final Timers timers;
    private final String prefix;
    private final int maxAttempts;
    private final Consumer<ListResult> onResult;
    private final List<Entry> entries = new ArrayList<>();

    /** The revision of the first page; negative until that page is read. */
    private long revision = -1;

    private PagedScan(
            Store store,
            Timers timers,
            String prefix,
            int maxAttempts,
            Consumer<ListResult> onResult) {
        this.store = store;
        this.timers = timers;
        this.prefix = prefix;
        this.maxAttempts = maxAttempts;
        this.onResult = onResult;
    }

    /**
     * Reads all records under the prefix.
     *
     * @param maxAttempts number of attempts to read each page before the scan fails
     * @param onResult receives all entries in key order and the revision of the first page, before
     *     which no entry was read, or the outcome of the page that could not be read
     */
    public static void read(
            Store store,
            Timers timers,
            String prefix,
            int maxAttempts,
            Consumer<ListResult> onResult) {
        new PagedScan(store, timers, prefix, maxAttempts, onResult).readPage(1);
    }

    private void readPage(int attempt) {
        String after = entries.isEmpty() ? "" : entries.get(entries.size() - 1).key();
        store.list(prefix, after, PAGE_SIZE, page -> onPage(page, attempt));
    }

    private void onPage(ListResult page, int attempt) {
        if (page.outcome() != Outcome.OK) {
            onFailure(page.outcome(), attempt);
            return;
        }
        if (revision < 0) {
            revision = page.revision();
        }
        entries.addAll(page.entries());
        if (page.hasMore() && !page.entries().isEmpty()) {
            readPage(1);
        } else {
            onResult.accept(new ListResult(Outcome.OK, entries, revision, false));
        }
    }

    private void onFailure(Outcome outcome, int attempt) {
        if (attempt < maxAttempts) {
            timers.schedule(
                    Math.min(MAX_RETRY_SECONDS, RETRY_STEP_SECONDS * attempt),
                    () -> readPage(attempt + 1));
        } else {
            onResult.accept(new ListResult(outcome, List.of(), 0, false));
        }
    }
}
