package io.kitepath.core.state;

import io.kitepath.core.state.StateWriter.BatchContributor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Contributors that wait for a batch, in order of arrival. Urgent contributors are kept apart from
 * those that can wait until the write rate has capacity to spare.
 */
final class ContributorQueue {
    private final Deque<BatchContributor> urgent = new ArrayDeque<>();
    private final Deque<BatchContributor> deferrable = new ArrayDeque<>();

    Deque<BatchContributor> urgent() {
        return urgent;
    }

    Deque<BatchContributor> deferrable() {
        return deferrable;
    }

    void enqueue(BatchContributor contributor) {
        queueOf(contributor).add(contributor);
    }

    /** Puts the contributors of a batch that was not committed back at the front, in order. */
    void putBack(List<BatchContributor> contributors) {
        for (int i = contributors.size() - 1; i >= 0; i--) {
            BatchContributor contributor = contributors.get(i);
            queueOf(contributor).addFirst(contributor);
        }
    }

    void clear() {
        urgent.clear();
        deferrable.clear();
    }

    private Deque<BatchContributor> queueOf(BatchContributor contributor) {
        return contributor.isUrgent() ? urgent : deferrable;
    }
}
