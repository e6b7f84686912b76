package io.kitepath.core.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.QueryOutcomes.UnansweredReason;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import org.junit.jupiter.api.Test;

/** Guards against a job that nobody is answered about and that no metric tells of. */
class QueryOutcomesTest {
    private static final double ASKED_EVERY_SECONDS = 15;

    private final SimulatedCluster cluster = new SimulatedCluster();
    private final SimulatedNode node = new SimulatedNode(cluster, "n");
    private boolean isStoreReachable = true;
    private final QueryOutcomes outcomes =
            new QueryOutcomes(cluster.settings("n"), node, () -> isStoreReachable);

    private void askInVain(int times) {
        for (int i = 0; i < times; i++) {
            outcomes.record("j-1", JobResponse.later(UnansweredReason.STORE_FAILED));
            cluster.run(ASKED_EVERY_SECONDS);
        }
    }

    @Test
    void aJobUnansweredForTooLongViolatesTheInvariantOnce() {
        askInVain(6);
        assertEquals(0, outcomes.overdueCount());
        assertEquals(90, outcomes.longestUnansweredSeconds(), 1e-6);
        askInVain(1);
        assertEquals(1, outcomes.overdueCount());
        assertEquals(7, outcomes.unansweredCount(UnansweredReason.STORE_FAILED));
    }

    @Test
    void anAnswerEndsTheStreak() {
        askInVain(5);
        outcomes.record("j-1", JobResponse.NOT_FOUND);
        askInVain(5);
        assertEquals(0, outcomes.overdueCount());
    }

    @Test
    void timeWithoutTheStoreDoesNotCount() {
        isStoreReachable = false;
        askInVain(10);
        isStoreReachable = true;
        askInVain(4);
        assertEquals(0, outcomes.overdueCount());
    }

    @Test
    void twoQueriesFarApartAreNoStreak() {
        askInVain(1);
        cluster.run(200);
        assertEquals(0, outcomes.longestUnansweredSeconds());
        askInVain(1);
        assertEquals(0, outcomes.overdueCount());
    }
}
