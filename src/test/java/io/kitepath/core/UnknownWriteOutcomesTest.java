package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedClusters;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.TransactionKeys;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A round whose answer is lost is settled by what the store has, and not by reading all jobs again.
 */
class UnknownWriteOutcomesTest {
    private int lost;

    /** Pages read in the last day; the clean-up and the cloud's duty read some. */
    private int read;

    /** The nth write of parts or ends gets no answer; {@code tries}: of it. */
    private SimulatedCluster day(int nth, int tries, boolean cancel) {
        SimulatedCluster cluster = SimulatedClusters.settled(3, 4);
        cluster.taskSeconds = id -> 6;
        SimulatedNode holder = cluster.leader();
        int[] seen = new int[1];
        int[] unheard = new int[1];
        cluster.store.losesResponseOf =
                transaction -> {
                    boolean ours = TransactionKeys.writesUnder(transaction, StoreKeys.JOB_PARTS);
                    if (ours && seen[0]++ >= nth && unheard[0] < tries) {
                        unheard[0]++;
                        if (cancel) {
                            cluster.after(0.05, () -> cluster.loadGenerator.cancel(holder, "j-2"));
                        }
                        return true;
                    }
                    return false;
                };
        int pages = cluster.store.pagesRead;
        cluster.submit(holder, job("j-1", Shape.ARRAY, 6, 1));
        cluster.submit(holder, job("j-2", Shape.ARRAY, 5, 1));
        cluster.run(3);
        cluster.submit(holder, job("j-3", Shape.GANG, 3, 1));
        cluster.run(60);
        lost += unheard[0];
        String at = "write " + nth + ", " + tries + " unheard" + (cancel ? ", cancelled" : "");
        read = cluster.store.pagesRead - pages;
        assertEquals(List.of(), cluster.violations, at);
        for (String id : List.of("j-1", "j-2", "j-3")) {
            String status = cluster.status(cluster.leader(), id);
            assertTrue(
                    status.equals("done")
                            || cancel && id.equals("j-2") && status.equals("cancelled"),
                    at + ": " + id + " is " + status);
        }
        assertEquals(
                0,
                cluster.store.entries.keySet().stream()
                        .filter(key -> key.startsWith(StoreKeys.JOB_PARTS))
                        .count(),
                at);
        return cluster;
    }

    @Test
    void eachRoundOfADayMayLoseItsAnswer() {
        day(0, 0, false);
        int usual = read;
        for (int n = 0; n < 8; n++) {
            for (int tries = 1; tries <= 3; tries++) {
                day(n, tries, false);
                assertEquals(
                        usual, read, "write " + n + ", " + tries + " unheard: all is read again");
            }
        }
        assertTrue(lost >= 20, "answers lost: " + lost);
    }

    @Test
    void aJobMayBeCancelledMeanwhile() {
        for (int n = 0; n < 5; n++) {
            day(n, 1, true);
        }
        assertTrue(lost >= 5);
    }
}
