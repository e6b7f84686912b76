package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedClusters;
import io.kitepath.simulation.SimulatedNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * What users are told about the dependents of a cancelled job when no node could learn of the
 * cancellation in time. The invariant checker reports a dependent that is called pending later than
 * {@code cancel_s} after its user was told of the cancellation.
 */
class DependentStatusTest {
    /** Longer than the 30 s of {@code cancel_s}. */
    private static final double OUTAGE_SECONDS = 38;

    private static final double LEADER_REFUSED_SECONDS = 1;

    private SimulatedCluster cluster;
    private SimulatedNode leader;

    /** More than any machine has, so that a job waits for ever. */
    private static final double TOO_MANY_CPUS = 1000;

    /** Starts three nodes with a chain of jobs, each of which names the one before it. */
    private void startWithChain(int jobs) {
        startWithChain(jobs, 1);
    }

    private void startWithChain(int jobs, double cpusOfFirst) {
        cluster = SimulatedClusters.settled(3, 4);
        cluster.taskSeconds = id -> 400;
        leader = cluster.leader();
        for (int i = 1; i <= jobs; i++) {
            cluster.submit(
                    leader,
                    job("j-" + i, Shape.ARRAY, 1, i == 1 ? cpusOfFirst : 1),
                    i == 1 ? new String[0] : new String[] {"j-" + (i - 1)});
        }
        cluster.run(6);
        pollAll(1, "j-" + jobs);
    }

    private SimulatedNode peer() {
        return cluster.nodes.values().stream()
                .filter(node -> node != leader && node.alive)
                .findFirst()
                .orElseThrow();
    }

    /** Asks all nodes about the jobs, again and again. */
    private void pollAll(double seconds, String... ids) {
        double endsAt = cluster.clock.now + seconds;
        while (cluster.clock.now < endsAt) {
            for (SimulatedNode node : List.copyOf(cluster.nodes.values())) {
                for (String id : ids) {
                    if (node.alive) {
                        cluster.ask(node, id);
                    }
                }
            }
        }
    }

    private void cancelAtPeer(String id) {
        assertEquals("cancelled", cluster.cancel(peer(), id).jobStatus().status());
    }

    /** The store refuses the leader; a second later it is out for all nodes. */
    private void refuseLeaderAndCancel(String id) {
        leader.cutFromStore = true;
        cluster.run(0.3);
        cancelAtPeer(id);
        cluster.run(0.4);
        cluster.store.outage(OUTAGE_SECONDS);
    }

    /**
     * The store refuses the leader for another moment, within its lease, while it serves others.
     */
    private void serveLeaderAgainLate(String... polledIds) {
        pollAll(LEADER_REFUSED_SECONDS, polledIds);
        leader.cutFromStore = false;
    }

    private void expectCancelledOnAllNodes(String... ids) {
        pollAll(10, ids);
        for (SimulatedNode node : cluster.nodes.values()) {
            for (String id : ids) {
                assertEquals("cancelled", cluster.status(node, id), id + " at " + node.name);
            }
        }
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * Guards against a leader that reports a job as waiting for one whose outcome it can't read.
     */
    @Test
    void aLeaderThatIsNotServedCallsNoDependentOfACancelledJobPending() {
        startWithChain(2);
        refuseLeaderAndCancel("j-1");
        cluster.run(OUTAGE_SECONDS);
        serveLeaderAgainLate("j-2");
        expectCancelledOnAllNodes("j-2");
    }

    /** Guards against the same where another job, whose record is still open, is in between. */
    @Test
    void aDependentOfADependentIsNotCalledPendingEither() {
        startWithChain(4);
        refuseLeaderAndCancel("j-1");
        cluster.run(OUTAGE_SECONDS);
        cluster.store.refusesRead = key -> key.startsWith(StoreKeys.ENDED_JOBS);
        serveLeaderAgainLate("j-3", "j-4");
        pollAll(8, "j-3", "j-4");
        cluster.store.refusesRead = key -> false;
        expectCancelledOnAllNodes("j-2", "j-3", "j-4");
    }

    /** Guards against a leader that believes a job to be open because nothing says otherwise. */
    @Test
    void aLeaderThatIsCutOffFromItsPeersDoesNotTrustItsWatch() {
        for (boolean isWatchLate : new boolean[] {false, true}) {
            startWithChain(3);
            cluster.nodes.values().stream()
                    .filter(node -> node != leader)
                    .forEach(node -> node.cutFrom.add(leader.name));
            refuseLeaderAndCancel("j-1");
            cluster.run(OUTAGE_SECONDS - 0.1);
            cluster.nodes.values().forEach(node -> node.losesPeerMessages = true);
            cluster.nodes.values().forEach(node -> node.cutFrom.clear());
            cluster.store.ignoresRequestsOf = client -> isWatchLate && client == leader;
            cluster.run(0.1);
            serveLeaderAgainLate("j-2", "j-3");
            pollAll(3, "j-2", "j-3");
            cluster.store.ignoresRequestsOf = client -> false;
            cluster.nodes.values().forEach(node -> node.losesPeerMessages = false);
            expectCancelledOnAllNodes("j-2", "j-3");
        }
    }

    /** Guards against a new leader that reports jobs as waiting before it has read any outcome. */
    @Test
    void aNewLeaderCallsNoJobPendingBeforeItHasReadTheOutcomes() {
        for (boolean areAllRestarted : new boolean[] {false, true}) {
            // Without a record of a part, which a new leader would read the end of first.
            startWithChain(3, TOO_MANY_CPUS);
            refuseLeaderAndCancel("j-1");
            cluster.run(OUTAGE_SECONDS - 0.05);
            leader.cutFromStore = false;
            List<SimulatedNode> ended =
                    areAllRestarted ? new ArrayList<>(cluster.nodes.values()) : List.of(leader);
            ended.forEach(SimulatedNode::kill);
            // The outcome can't be read for a while, and nothing moves the dependents.
            cluster.store.refusesRead = key -> key.startsWith(StoreKeys.ENDED_JOBS);
            ended.forEach(node -> cluster.node(node.name));
            pollAll(20, "j-2", "j-3");
            assertTrue(cluster.leader() != null);
            cluster.store.refusesRead = key -> false;
            expectCancelledOnAllNodes("j-2", "j-3");
        }
    }

    /**
     * Guards against a node that repeats an answer of the leader for half of {@code cancel_s}
     * although the leader's own knowledge was old when it gave the answer.
     */
    @Test
    void aNodeDoesNotRepeatAnAnswerThatWasOldWhenItCame() {
        for (double outageSeconds : new double[] {5, 20}) {
            startWithChain(2);
            SimulatedNode peer = peer();
            peer.losesPeerMessages = true;
            peer.cutFrom.add(leader.name);
            leader.cutFromStore = true;
            cluster.run(0.1);
            cancelAtPeer("j-1");
            cluster.store.outage(outageSeconds);
            cluster.run(outageSeconds);
            // From here on nobody writes, so that nothing but memory is left of the dependent.
            cluster.store.ignoresRequestsOf = client -> true;
            cluster.store.holdsBack = transaction -> !transaction.writes().isEmpty();
            peer.cutFrom.clear();
            pollAll(1, "j-2");
            leader.cutFromStore = false;
            cluster.nodes.values().forEach(node -> node.cutFrom.add(leader.name));
            pollAll(35, "j-2");
            cluster.store.holdsBack = transaction -> false;
            cluster.store.ignoresRequestsOf = client -> false;
            cluster.nodes.values().forEach(node -> node.cutFrom.clear());
            peer.losesPeerMessages = false;
            pollAll(10, "j-2");
            expectCancelledOnAllNodes("j-2");
        }
    }

    /** Guards against an old status for a user who submits the same job again. */
    @Test
    void aRepeatedSubmissionIsNotAnsweredWithPendingEither() {
        startWithChain(3);
        refuseLeaderAndCancel("j-1");
        cluster.run(OUTAGE_SECONDS);
        double servedAt = cluster.clock.now + LEADER_REFUSED_SECONDS;
        while (cluster.clock.now < servedAt + 3) {
            for (SimulatedNode node : cluster.nodes.values()) {
                cluster.submit(node, job("j-3", Shape.ARRAY, 1, 1), "j-2");
                cluster.submit(node, job("j-2", Shape.ARRAY, 1, 1), "j-1");
            }
            leader.cutFromStore = cluster.clock.now < servedAt;
        }
        expectCancelledOnAllNodes("j-2", "j-3");
    }

    /** Guards against a fix that leaves waiting jobs without an answer after the same troubles. */
    @Test
    void jobsThatStillWaitAreAnsweredSoonAfterTheOutage() {
        for (Consumer<SimulatedNode> trouble :
                List.<Consumer<SimulatedNode>>of(node -> {}, SimulatedNode::kill)) {
            startWithChain(4);
            cluster.submit(leader, job("j-11", Shape.ARRAY, 1, 1));
            cluster.submit(leader, job("j-12", Shape.ARRAY, 1, 1), "j-11", "j-3");
            cluster.run(3);
            refuseLeaderAndCancel("j-11");
            cluster.run(OUTAGE_SECONDS);
            trouble.accept(leader);
            pollAll(LEADER_REFUSED_SECONDS, "j-2", "j-12");
            leader.cutFromStore = false;
            cluster.node(leader.name);
            double endsAt = cluster.clock.now + 15;
            cluster.run(10);
            int answers = 0;
            while (cluster.clock.now < endsAt) {
                for (SimulatedNode node : cluster.nodes.values()) {
                    assertEquals("pending", cluster.status(node, "j-2"));
                    assertEquals("pending", cluster.status(node, "j-4"));
                    assertEquals("cancelled", cluster.status(node, "j-12"));
                    answers += 3;
                }
            }
            assertTrue(answers >= 30);
            assertEquals(List.of(), cluster.violations);
        }
    }

    /** Guards against a job without an answer because a record before it is unreadable here. */
    @Test
    void aJobThatWaitsForAnUnreadableOpenJobIsAnsweredUntilThatOneIsCancelled() {
        startWithChain(1);
        cluster.store.put(
                StoreKeys.OPEN_JOBS + "j-8",
                Map.of("shape", "ARRAY/9"),
                0,
                ++cluster.store.revision);
        cluster.submit(leader, job("j-9", Shape.ARRAY, 1, 1), "j-8");
        cluster.run(20);
        for (int i = 0; i < 50; i++) {
            for (SimulatedNode node : cluster.nodes.values()) {
                assertEquals("pending", cluster.status(node, "j-9"));
            }
            cluster.run(0.7);
        }
        cancelAtPeer("j-8");
        expectCancelledOnAllNodes("j-9");
    }

    /**
     * Guards against jobs without an answer where one request can't compare all that others need.
     */
    @Test
    void longPipelinesAreAnsweredWhereTheStoreTakesFewConditions() {
        cluster = SimulatedClusters.settled(3, 2);
        cluster.store.largestTransactionOperations = 3;
        cluster.taskSeconds = id -> 400;
        leader = cluster.leader();
        for (int i = 1; i <= 300; i++) {
            cluster.submit(
                    leader,
                    job("j-" + i, Shape.ARRAY, 1, 1),
                    i == 1 ? new String[0] : new String[] {"j-" + (i - 1)});
        }
        cluster.run(30);
        for (int i = 2; i <= 300; i += 7) {
            for (SimulatedNode node : cluster.nodes.values()) {
                assertEquals("pending", cluster.status(node, "j-" + i));
            }
        }
        assertEquals(List.of(), cluster.violations);
    }
}
