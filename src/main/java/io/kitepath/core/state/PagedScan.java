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
 * Reads everything under a prefix, page by page. Guards against a reading that begins anew for
 * every page that is refused: while many ask the state service, a new holder would never get to the
 * end of its jobs.
 */
public final class PagedScan {
    private static final int PAGE_SIZE = 500;

    private final Store store;
    private final Timers timers;
    private final String prefix;
    private final int maxAttempts;
    private final Consumer<ListResult> answer;
    private final List<Entry> entries = new ArrayList<>();
    private long revision = -1;

    private PagedScan(
            Store store, Timers timers, String prefix, int tries, Consumer<ListResult> answer) {
        this.store = store;
        this.timers = timers;
        this.prefix = prefix;
        this.maxAttempts = tries;
        this.answer = answer;
    }

    /**
     * {@code tries}: how often a page is asked for. The revision is from before the first page was
     * read.
     */
    public static void read(
            Store store, Timers timers, String prefix, int tries, Consumer<ListResult> answer) {
        new PagedScan(store, timers, prefix, tries, answer).readPage(1);
    }

    private void readPage(int attempt) {
        String from = entries.isEmpty() ? "" : entries.get(entries.size() - 1).key();
        store.list(
                prefix,
                from,
                PAGE_SIZE,
                page -> {
                    if (page.outcome() != Outcome.OK) {
                        if (attempt < maxAttempts) {
                            timers.schedule(
                                    Math.min(1, 0.1 * attempt), () -> readPage(attempt + 1));
                        } else {
                            answer.accept(new ListResult(page.outcome(), List.of(), 0, false));
                        }
                        return;
                    }
                    if (revision < 0) {
                        revision = page.revision();
                    }
                    entries.addAll(page.entries());
                    if (page.hasMore() && !page.entries().isEmpty()) {
                        readPage(1);
                    } else {
                        answer.accept(new ListResult(Outcome.OK, entries, revision, false));
                    }
                });
    }
}
