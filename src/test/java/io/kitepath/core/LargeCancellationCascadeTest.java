package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedClusters;
import io.kitepath.simulation.SimulatedNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A cancellation that spreads to more jobs than the store writes within {@code cancel_s}. */
class LargeCancellationCascadeTest {
    /** Two changes for each take more than twice {@code cancel_s} at the rate below. */
    private static final int JOBS = 1500;

    private static final double CHANGES_PER_SECOND = 35;

    private final Random random = new Random(4);
    private SimulatedCluster cluster;
    private SimulatedNode leader;

    /** Three nodes and a tree of jobs below the first one, of which none has begun. */
    @BeforeEach
    void submitJobs() {
        cluster = SimulatedClusters.settled(3, 2);
        cluster.taskSeconds = id -> 10_000;
        leader = cluster.leader();
        for (int i = 1; i <= JOBS; i++) {
            String id = "j-" + i;
            List<String> dependencies = i == 1 ? List.of() : List.of("j-" + (1 + (i - 2) / 2));
            leader.controller
                    .jobApi()
                    .submit(job(id, Shape.ARRAY, 1, 1), dependencies, response -> {});
            cluster.dependencies.put(id, dependencies);
            cluster.run(0.02);
        }
        cluster.run(3);
        cluster.store.throttle(150, CHANGES_PER_SECOND);
        assertEquals("pending", cluster.status(leader, "j-" + JOBS));
    }

    private SimulatedNode peer() {
        return cluster.nodes.values().stream()
                .filter(node -> node != leader)
                .findFirst()
                .orElseThrow();
    }

    private String anyJob() {
        return "j-" + (2 + random.nextInt(JOBS - 1));
    }

    private long openJobs() {
        return cluster.store.entries.keySet().stream()
                .filter(key -> key.startsWith(StoreKeys.OPEN_JOBS))
                .count();
    }

    /** Asks about any jobs at any nodes; the answers count for the rules only. */
    private void poll(double seconds) {
        double endsAt = cluster.clock.now + seconds;
        while (cluster.clock.now < endsAt) {
            for (SimulatedNode node : cluster.nodes.values()) {
                cluster.ask(node, anyJob());
            }
        }
    }

    private void expectAllCancelledOnEveryNode() {
        for (int i = 0; i < 40; i++) {
            for (SimulatedNode node : new ArrayList<>(cluster.nodes.values())) {
                String id = anyJob();
                assertEquals("cancelled", cluster.status(node, id), id + " at " + node.name);
            }
        }
    }

    /** Guards against dependents without an answer until their own records are written. */
    @Test
    void allNodesReportTheDependentsAsCancelledWithinTheDeadline() {
        assertEquals("cancelled", cluster.cancel(peer(), "j-1").jobStatus().status());
        poll(cluster.cancelSeconds - 1);
        assertTrue(openJobs() > JOBS / 2, "only " + openJobs() + " are left");
        expectAllCancelledOnEveryNode();
        poll(90);
        assertEquals(List.of(), cluster.violations);
    }

    /** Guards against a job that was called cancelled and is then reported by another leader. */
    @Test
    void aNewLeaderDoesNotReportThemAsPendingAgain() {
        assertEquals("cancelled", cluster.cancel(peer(), "j-1").jobStatus().status());
        poll(cluster.cancelSeconds - 1);
        leader.kill();
        cluster.node(leader.name);
        poll(40);
        assertTrue(openJobs() > 100, "only " + openJobs() + " are left");
        expectAllCancelledOnEveryNode();
        assertEquals(List.of(), cluster.violations);
    }

    /** Guards against users of a node that missed the announcement. */
    @Test
    void announcementsAreRepeatedForNodesThatMissedThem() {
        leader.losesPeerMessages = true;
        assertEquals("cancelled", cluster.cancel(peer(), "j-1").jobStatus().status());
        poll(cluster.cancelSeconds + 5);
        leader.losesPeerMessages = false;
        poll(2);
        expectAllCancelledOnEveryNode();
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * Guards against a large cascade that is announced before others have ceased to say pending.
     */
    @Test
    void nothingIsAnnouncedWhileSomeNodeMayStillCallAJobPending() {
        SimulatedNode peer = peer();
        SimulatedNode third =
                cluster.nodes.values().stream()
                        .filter(node -> node != leader && node != peer)
                        .findFirst()
                        .orElseThrow();
        List<String> asked = List.of("j-1400", "j-1450", "j-1499");
        asked.forEach(id -> assertEquals("pending", cluster.status(third, id)));
        third.cutFrom.add(leader.name);
        assertEquals("cancelled", cluster.cancel(peer, "j-1").jobStatus().status());
        double endsAt = cluster.clock.now + 60;
        while (cluster.clock.now < endsAt) {
            asked.forEach(id -> cluster.ask(third, id));
            asked.forEach(id -> cluster.ask(peer, id));
        }
        assertEquals(List.of(), cluster.violations);
    }

    /** Guards against settings that leave no time between the last pending and the deadline. */
    @Test
    void whatIsAnnouncedComesWithinTheDeadline() {
        ClusterSettings.WorkerTimings timings = leader.controller.settings.workers();
        assertTrue(
                timings.pendingReportLifetimeSeconds() < timings.cancelDeadlineSeconds() * 7 / 8);
    }
}
