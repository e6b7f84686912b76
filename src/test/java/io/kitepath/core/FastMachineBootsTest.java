package io.kitepath.core;

import static io.kitepath.core.ConcurrentFaultsTest.starts;
import static io.kitepath.core.ZoneConstraintsTest.bound;
import static io.kitepath.core.ZoneConstraintsTest.spread;
import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.TransactionKeys;
import io.kitepath.simulation.WorkerNetworkWrapper;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * New machines are up within two seconds, long before a list shows them, and get work at once,
 * while writes lag or are not answered, and the leader ends: what was asked of the cloud is rented
 * once, what was launched runs once, and nothing stays rented for nothing.
 */
class FastMachineBootsTest {
    private static final int TASKS = 9;
    private int runs;

    /** Nodes without machines, and a cloud whose machines are up at once and listed late. */
    private static SimulatedCluster startCluster() {
        SimulatedCluster cluster = new SimulatedCluster();
        cluster.heartbeatIntervalSeconds = 2;
        cluster.leaseSeconds = 10;
        cluster.reportsChangesImmediately = true;
        cluster.cloud.listLagSeconds = 8;
        cluster.cloud.capacity = 30;
        cluster.cloud.bootSeconds = number -> 0.2 + number * 0.7 % 1.8;
        cluster.taskSeconds = id -> id.equals("j-2") ? 1e6 : 22;
        for (int i = 0; i < 3; i++) {
            cluster.siblings.add("k" + i);
        }
        cluster.siblings.forEach(cluster::node);
        cluster.run(12);
        return cluster;
    }

    private static void submitAll(SimulatedCluster cluster) {
        for (JobSpec spec :
                List.of(
                        bound(job("j-1", Shape.GANG, 4, 2)),
                        spread(job("j-2", Shape.SERVICE, 2, 2)),
                        bound(job("j-3", Shape.ARRAY, 3, 2)))) {
            while (!cluster.acceptedAt.containsKey(spec.id())) {
                cluster.submit(
                        cluster.nodes.values().stream()
                                .filter(node -> node.alive)
                                .findFirst()
                                .orElseThrow(),
                        spec);
            }
        }
    }

    /** Rentals on record that are not known to be settled, while a machine of theirs is up. */
    private static boolean upBeforeKnown(SimulatedCluster cluster) {
        return !cluster.workers.isEmpty()
                && cluster
                        .store
                        .entries
                        .subMap(StoreKeys.RENTAL_INTENTS, StoreKeys.RENTAL_INTENTS + "~")
                        .values()
                        .stream()
                        .anyMatch(entry -> !((Map<?, ?>) entry.value()).containsKey("machines"));
    }

    private static boolean launchedBeforeListed(SimulatedCluster cluster) {
        return cluster.workers.values().stream().anyMatch(worker -> !worker.tasks.isEmpty());
    }

    /** One that leads, or would, ends and is back a second later. */
    private static void crashAndRestart(SimulatedCluster cluster, SimulatedNode node) {
        if (node.alive) {
            node.kill();
            cluster.after(1, () -> cluster.node(node.name));
        }
    }

    private static SimulatedNode leaderOrFirst(SimulatedCluster cluster) {
        return cluster.nodes.values().stream()
                .filter(node -> node.alive && node.controller.leadership.isLeading())
                .findFirst()
                .orElse(cluster.nodes.get("k0"));
    }

    /** All done, started {@code starts} times, on {@code most} machines, and none is left. */
    private void checkAllDoneAndNothingRented(
            SimulatedCluster cluster, int starts, int most, String at) {
        cluster.run(30);
        cluster.cancel(cluster.leader(), "j-2");
        cluster.run(90);
        assertEquals("done", cluster.status(cluster.leader(), "j-1"), at);
        assertEquals("done", cluster.status(cluster.leader(), "j-3"), at);
        assertEquals(List.of(), cluster.violations, at);
        if (starts > 0) {
            assertEquals(starts, starts(cluster), at);
        }
        assertTrue(cluster.cloud.nameCount <= most, at + ": rented " + cluster.cloud.nameCount);
        assertEquals(Map.of(), cluster.cloud.machines, at);
        assertEquals(
                List.of(),
                cluster.store.entries.keySet().stream()
                        .filter(key -> key.startsWith(StoreKeys.CLOUD_INTENTS))
                        .toList(),
                at);
        runs++;
    }

    /**
     * A day on which nothing goes wrong: how many machines it takes, which the other days are
     * measured by.
     */
    private int machinesWithoutFaults() {
        SimulatedCluster cluster = startCluster();
        submitAll(cluster);
        cluster.run(10);
        assertEquals(
                TASKS,
                cluster.onMachines("j-1") + cluster.onMachines("j-2") + cluster.onMachines("j-3"));
        checkAllDoneAndNothingRented(cluster, TASKS, 12, "nothing goes wrong");
        return cluster.cloud.nameCount;
    }

    // ---- each write, as the leader ends
    // ------------------------------------------------------------

    private enum Lag {
        LATE,
        UNHEARD,
        LOST
    }

    /**
     * The write of that number from the first rental on is late, or carried out without an answer,
     * or lost, and whoever leads ends at that moment or a little later. Answers false if there are
     * fewer writes.
     */
    private boolean runWithLaggingWrite(
            int writeNumber,
            Lag lag,
            double endsAfter,
            boolean cut,
            int usualMachines,
            Map<String, Integer> met) {
        SimulatedCluster cluster = startCluster();
        int[] writes = new int[1];
        Consumer<Transaction> onLaggingWrite =
                transaction -> {
                    countWrittenKeys(transaction, met);
                    cluster.after(
                            endsAfter,
                            () -> {
                                countMachineStates(cluster, met);
                                if (cut) {
                                    cutMachinesOffForFourSeconds(cluster);
                                }
                                crashAndRestart(cluster, leaderOrFirst(cluster));
                            });
                };
        cluster.store.losesResponseOf =
                transaction -> {
                    boolean rents = writesRentalIntent(transaction);
                    if (lag == Lag.UNHEARD
                            && (writes[0] > 0 && !transaction.writes().isEmpty() || rents)
                            && writes[0]++ == writeNumber) {
                        onLaggingWrite.accept(transaction);
                        return true;
                    }
                    return false;
                };
        cluster.store.executionDelaySeconds =
                transaction -> {
                    boolean rents = writesRentalIntent(transaction);
                    if (lag != Lag.UNHEARD
                            && (writes[0] > 0 || rents)
                            && writes[0]++ == writeNumber) {
                        onLaggingWrite.accept(transaction);
                        return lag == Lag.LATE ? 3.5 : 1e6;
                    }
                    return 0;
                };
        submitAll(cluster);
        cluster.run(14);
        String at =
                lag
                        + " write "
                        + writeNumber
                        + ", the leader ends "
                        + endsAfter
                        + " s later"
                        + (cut ? ", machines cut" : "");
        checkAllDoneAndNothingRented(cluster, TASKS, 2 * usualMachines, at);
        return writes[0] > writeNumber && cluster.cloud.nameCount > 0;
    }

    private static boolean writesRentalIntent(Transaction transaction) {
        return TransactionKeys.writesUnder(transaction, StoreKeys.RENTAL_INTENTS);
    }

    /** By kind of key; rentals whose machines are known apart from the others. */
    private static void countWrittenKeys(Transaction transaction, Map<String, Integer> met) {
        transaction
                .writes()
                .forEach(
                        write ->
                                met.merge(
                                        write.key().replaceAll("[0-9].*", "")
                                                + (write.value() instanceof Map<?, ?> value
                                                                && value.containsKey("machines")
                                                        ? "with machines"
                                                        : ""),
                                        1,
                                        Integer::sum));
    }

    private static void countMachineStates(SimulatedCluster cluster, Map<String, Integer> met) {
        met.merge(upBeforeKnown(cluster) ? "up before known" : "-", 1, Integer::sum);
        met.merge(launchedBeforeListed(cluster) ? "launched before listed" : "-", 1, Integer::sum);
    }

    private static void cutMachinesOffForFourSeconds(SimulatedCluster cluster) {
        cluster.workers.values().forEach(worker -> worker.isCutOff = true);
        cluster.after(4, () -> cluster.workers.values().forEach(worker -> worker.isCutOff = false));
    }

    @Test
    void eachWriteLagsAsTheLeaderEnds() {
        int usualMachines = machinesWithoutFaults();
        Map<String, Integer> met = new TreeMap<>();
        for (Lag lag : Lag.values()) {
            for (int n = 0; n < 12; n++) {
                for (double ends : new double[] {0.001, 0.7, 1.6}) {
                    assertTrue(
                            runWithLaggingWrite(
                                    n, lag, ends, (n + runs) % 2 == 0, usualMachines, met));
                }
            }
        }
        System.out.println("fast boots: " + runs + " runs, met " + met);
        assertTrue(
                met.get("up before known") > 3 && met.get("launched before listed") > 10,
                met.toString());
        assertTrue(
                met.containsKey(StoreKeys.RENTAL_INTENTS + "r-with machines")
                        && met.containsKey(StoreKeys.JOB_PARTS + "j-"),
                met.toString());
    }

    // ---- a name whose answer was lost
    // ---------------------------------------------------------------

    /**
     * What came of a rental is not heard, and the leader, or who asked for it, or both end in one
     * of the next seconds.
     */
    @Test
    void aRentalWhoseAnswerIsLostIsOfOneNameWhoeverEnds() {
        int usualMachines = machinesWithoutFaults();
        int unsettled = 0;
        for (int who = 0; who < 3; who++) {
            for (double ends = 0.02; ends < 4; ends += 0.4) {
                SimulatedCluster cluster = startCluster();
                cluster.cloud.responsesToLose = 3;
                cluster.store.holdsBack =
                        transaction ->
                                transaction.writes().stream()
                                        .anyMatch(
                                                write ->
                                                        write.key()
                                                                        .startsWith(
                                                                                StoreKeys
                                                                                        .RENTAL_INTENTS)
                                                                && write.value()
                                                                        instanceof Map<?, ?> m
                                                                && m.containsKey("machines"));
                submitAll(cluster);
                cluster.run(ends);
                SimulatedNode leader = leaderOrFirst(cluster);
                SimulatedNode carrier =
                        cluster.nodes.values().stream()
                                .filter(node -> node.controller.holdsRole("cloud"))
                                .findFirst()
                                .orElseThrow();
                unsettled += upBeforeKnown(cluster) ? 1 : 0;
                if (who != 1) {
                    crashAndRestart(cluster, leader);
                }
                if (who != 0) {
                    crashAndRestart(cluster, carrier);
                }
                cluster.run(4);
                // What came of it can be put down from now on; what was withheld is carried out
                // late.
                cluster.store.holdsBack = transaction -> false;
                cluster.run(2);
                cluster.store.heldBackTransactions.forEach(cluster.store::execute);
                cluster.run(10);
                checkAllDoneAndNothingRented(
                        cluster, TASKS, 2 * usualMachines, "end " + who + " after " + ends);
            }
        }
        assertTrue(unsettled > 10, "up before it was known: " + unsettled);
    }

    // ---- two nodes in turn
    // ----------------------------------------------------------------------------

    /**
     * Of the answers that workers get some are lost, so they go from node to node; writes lag, and
     * leaders end.
     */
    @Test
    void aMachineThatReportsToAlternatingNodesRunsNothingTwice() {
        int turns = 0;
        int ended = 0;
        for (long seed = 0; seed < 40; seed++) {
            Random random = new Random(seed);
            SimulatedCluster cluster = startCluster();
            Map<String, String> last = new TreeMap<>();
            int[] moved = new int[1];
            boolean[] calm = new boolean[1];
            cluster.workerNetwork =
                    new WorkerNetworkWrapper(cluster.workerNetwork) {
                        @Override
                        public void heartbeat(
                                String node,
                                Heartbeat heartbeat,
                                Consumer<HeartbeatResponse> answer) {
                            moved[0] += node.equals(last.put(heartbeat.machineId(), node)) ? 0 : 1;
                            boolean lost = !calm[0] && random.nextInt(4) == 0;
                            delegate.heartbeat(node, heartbeat, lost ? response -> {} : answer);
                        }
                    };
            cluster.store.executionDelaySeconds =
                    transaction ->
                            !calm[0] && random.nextInt(4) == 0 ? 1 + random.nextDouble() * 5 : 0;
            cluster.store.losesResponseOf = transaction -> !calm[0] && random.nextInt(6) == 0;
            submitAll(cluster);
            for (int i = 0; i < 3; i++) {
                cluster.run(0.5 + random.nextDouble() * 5);
                ended += launchedBeforeListed(cluster) ? 1 : 0;
                crashAndRestart(cluster, leaderOrFirst(cluster));
            }
            cluster.run(4);
            calm[0] = true;
            turns += moved[0] - cluster.workers.size();
            cluster.run(45);
            checkAllDoneAndNothingRented(cluster, 0, 30, "seed " + seed);
        }
        assertTrue(turns > 100 && ended > 50, "turns " + turns + ", ends with work " + ended);
    }
}
