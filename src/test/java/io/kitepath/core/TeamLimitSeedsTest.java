package io.kitepath.core;

import static io.kitepath.core.MeetingsTest.other;
import static io.kitepath.core.TeamLimitMeetingsTest.TEAMS;
import static io.kitepath.core.TeamLimitMeetingsTest.limited;
import static io.kitepath.core.TeamLimitMeetingsTest.whole;
import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.TeamLimitMeetingsTest.Lost;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Limits across leaders that end between any two writes, and with all troubles of {@link
 * TeamLimitMeetingsTest} at once.
 */
class TeamLimitSeedsTest {
    private SimulatedCluster w;

    /**
     * The leader ends after each of its next requests, so between any two records of a gang that
     * has several, of an array and a service, which take the room that was called off a moment
     * before; some of the machines are cut off by then.
     */
    @Test
    void whatWasHalfWrittenAtTheLimitCountsForTheNextLeader() {
        int half = 0;
        for (int more = 1; more < 40; more += 2) {
            w = limited(10);
            w.teams.put("blue", new ClusterSettings.Team("blue", 0, 18, 0, 0));
            SimulatedWorker[] cut =
                    w.workers.values().stream().limit(3).toArray(SimulatedWorker[]::new);
            JobSpec gang =
                    SimulatedCluster.with(
                            job("j-21", Shape.GANG, 18, 1), "blue", Priority.NORMAL, false);
            w.submit(w.leader(), whole("red", 1));
            w.submit(
                    w.leader(),
                    SimulatedCluster.with(
                            job("j-20", Shape.ARRAY, 18, 1), "blue", Priority.NORMAL, false));
            w.run(5);
            assertEquals(18, w.rules.onMachines("blue")[0]);
            w.submit(w.leader(), gang);
            w.submit(w.leader(), whole("red", 2));
            SimulatedNode leader = w.leader();
            w.users.cancel(leader, "j-20");
            w.users.cancel(leader, "j-11");
            leader.endAfter(
                    more,
                    () -> {
                        for (SimulatedWorker x : cut) {
                            Lost.CUT.begins(w, x, 14);
                        }
                        w.after(0.3, () -> w.node(leader.name));
                    });
            w.run(3);
            int parts =
                    (int)
                            w.store.keys.keySet().stream()
                                    .filter(k -> k.startsWith(StoreKeys.PART + "j-21"))
                                    .count();
            half += parts > 0 && parts < 3 ? 1 : 0;
            // The gang that is on record by now is called off too, by half of the users.
            boolean off = more % 4 == 1;
            if (off) {
                w.users.cancel(other(w, null), "j-21");
            }
            w.run(70);
            String when = "leader ends after " + more + " more requests";
            assertEquals(List.of(), w.broken, when);
            assertEquals(off ? 0 : 18, w.onMachines("j-21"), when);
            assertEquals(4, w.onMachines("j-12"), when);
            assertEquals(
                    off ? 0 : 18, w.leader().controller.block.teamUse().cpus("blue"), 1e-6, when);
        }
        System.out.println("limits: half written " + half);
        assertTrue(half > 10, "half written " + half);
    }

    private static void trouble(SimulatedCluster w, Random random) {
        SimulatedNode leader =
                w.nodes.values().stream()
                        .filter(n -> n.alive && n.controller.leadsWith() > 0)
                        .findFirst()
                        .orElse(null);
        double lasts = random.nextDouble() * 3 * w.leaseS;
        switch (random.nextInt(6)) {
            case 0, 1 -> w.cancelNow(1 + random.nextInt(3), lasts, random);
            case 2 ->
                    w.workers.values().stream()
                            .filter(x -> x.up && random.nextInt(4) == 0)
                            .forEach(x -> Lost.values()[1 + random.nextInt(3)].begins(w, x, lasts));
            case 3 -> {
                if (leader != null) {
                    double back = 0.1 + random.nextInt(3);
                    leader.endAfter(
                            1 + random.nextInt(30), () -> w.after(back, () -> w.node(leader.name)));
                }
            }
            case 4 -> {
                w.store.late = t -> random.nextInt(4) == 0 ? 2 + random.nextDouble() * 10 : 0;
                w.after(lasts / 2, () -> w.store.late = t -> 0);
            }
            default -> {
                w.store.unheard = t -> random.nextInt(3) == 0;
                w.after(lasts / 2, () -> w.store.unheard = t -> false);
            }
        }
    }

    /** All of it together, with more work than the limits of three teams hold. */
    @Test
    void manyTeamsAtTheirLimitsInManyTroubles() {
        int cancelled = 0;
        int atLimit = 0;
        for (long seed = 0; seed < 30; seed++) {
            Random random = new Random(seed);
            w = limited(10);
            w.cloud.capacity = 30;
            w.closeLooks = seed % 3 == 0;
            w.runsFor = id -> 15 + Math.floorMod(id.hashCode(), 5) * 12;
            for (int i = 0; i < 14; i++) {
                String team = TEAMS.get(i % 3);
                Shape shape = Shape.values()[random.nextInt(3)];
                JobSpec s =
                        SimulatedCluster.with(
                                job(
                                        "j-" + (10 + i),
                                        shape,
                                        1 + random.nextInt(team.equals("blue") ? 3 : 4),
                                        1),
                                team,
                                Priority.NORMAL,
                                false);
                w.submit(w.nodes.get("k" + random.nextInt(3)), s);
                w.run(random.nextDouble() * 3);
                if (i > 4 && random.nextBoolean()) {
                    trouble(w, random);
                }
                atLimit +=
                        w.rules.onMachines("red")[0] == 8 || w.rules.onMachines("green")[0] == 5
                                ? 1
                                : 0;
            }
            w.run(3 * w.leaseS);
            w.nodes.values().forEach(n -> n.endsAfter = Integer.MAX_VALUE);
            w.run(4);
            w.rules.calm();
            w.run(150);
            String when = "seed " + seed;
            assertEquals(List.of(), w.broken, when);
            cancelled += w.toldCancelled.size();
            // Services go on; once they are called off as well, no team's limit has anything left
            // on it.
            w.specs.keySet().stream().sorted().forEach(id -> w.users.cancel(other(w, null), id));
            w.run(3 * w.leaseS);
            for (String t : TEAMS) {
                assertEquals(0, w.rules.onMachines(t)[0], when + " " + t);
                assertEquals(
                        0, w.leader().controller.block.teamUse().cpus(t), 1e-6, when + " " + t);
            }
            assertEquals(List.of(), w.broken, when);
        }
        System.out.println("limits: " + cancelled + " cancelled, " + atLimit + " times at a limit");
        assertTrue(
                cancelled > 30 && atLimit > 60,
                cancelled + " cancelled, " + atLimit + " times at a limit");
    }
}
