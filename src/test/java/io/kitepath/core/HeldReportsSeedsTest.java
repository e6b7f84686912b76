package io.kitepath.core;

import static io.kitepath.core.HeldReportsTest.leading;
import static io.kitepath.core.HeldReportsTest.untilNextLeader;
import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.Worlds.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Reports that come once more among other troubles, in days drawn by seed; {@link HeldReportsTest}
 * has each by itself.
 */
class HeldReportsSeedsTest {
    private static final int IN_CI = 8;

    private int heldUp;

    /**
     * Copies, held answers and commands, machines that hang, are cut off or hear nothing, and
     * leaders that change.
     */
    private int seeded(long seed) {
        Random random = new Random(seed);
        SimulatedCluster w = settled(3, 5);
        ReportCopies copies = new ReportCopies(w);
        w.cloud.capacity = 10;
        w.runsFor = id -> 5 + Math.floorMod(id.hashCode(), 9) * 4;
        copies.keeps = r -> random.nextInt(3) == 0;
        copies.answerHeldS = () -> random.nextInt(6) == 0 ? random.nextDouble() * 5 : 0;
        w.directHeldS = () -> random.nextInt(3) == 0 ? 0.6 + random.nextDouble() * 9 : 0;
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            String id = "j-" + (10 + i);
            var a =
                    w.submit(
                            w.nodes.get("k" + random.nextInt(3)),
                            job(
                                    id,
                                    i % 3 == 0 ? Shape.GANG : Shape.ARRAY,
                                    1 + random.nextInt(4),
                                    1 + random.nextInt(2)));
            if (a != null && a.verdict() == Verdict.CREATED) {
                jobs.add(id);
            }
            w.run(random.nextDouble() * 5);
            if (random.nextInt(3) == 0 && !jobs.isEmpty()) {
                w.cancel(
                        w.nodes.get("k" + random.nextInt(3)),
                        jobs.get(random.nextInt(jobs.size())));
            }
            List<SimulatedWorker> up = w.workers.values().stream().filter(x -> x.up).toList();
            SimulatedWorker x = up.get(random.nextInt(up.size()));
            double lasts = random.nextDouble() * 15;
            switch (random.nextInt(8)) {
                case 0 -> x.hangsUntil = w.clock.now + lasts;
                case 1 -> {
                    x.cut = true;
                    w.after(lasts, () -> x.cut = false);
                }
                case 2 -> {
                    x.deaf = true;
                    w.after(lasts, () -> x.deaf = false);
                }
                case 3 -> {
                    x.die();
                    w.cloud.machines.remove(x.id);
                }
                default -> {}
            }
            SimulatedNode n = leading(w);
            if (n != null && random.nextInt(3) == 0) {
                n.kill();
                w.after(0.3, () -> w.node(n.name));
                untilNextLeader(w);
                if (random.nextBoolean()) {
                    w.run(random.nextDouble() * 4);
                }
            }
            if (random.nextBoolean()) {
                List<Heartbeat> some =
                        copies.kept.stream().filter(r -> random.nextInt(3) == 0).toList();
                w.after(random.nextDouble() * 3, () -> copies.bringAll(some));
            }
        }
        copies.answerHeldS = () -> 0;
        w.directHeldS = () -> 0;
        copies.keeps = r -> false;
        w.run(15);
        w.rules.calm();
        copies.bringAll(copies.kept);
        w.run(200);
        for (String id : jobs) {
            var a = w.ask(w.leader(), id);
            assertTrue(
                    a != null && a.verdict() == Verdict.KNOWN,
                    "seed " + seed + ": " + id + " " + a);
            assertEquals(
                    w.toldCancelled.containsKey(id) ? "cancelled" : "done",
                    a.state().status(),
                    "seed " + seed + ": " + id);
        }
        assertEquals(List.of(), w.broken, "seed " + seed);
        assertTrue(copies.brought > 50, "seed " + seed + ": " + copies.brought);
        heldUp += copies.late;
        assertFalse(
                w.leader().controller.block.machines().values().stream()
                        .anyMatch(m -> m.deafToAnswers()),
                "seed " + seed);
        return copies.ofItsToken;
    }

    @Test
    void whateverIsHeldUpNothingRunsTwiceOrIsLost() {
        int runs = Math.max(IN_CI, Integer.getInteger("kitepath.seeds", 0));
        int ofItsToken = 0;
        for (long seed = 0; seed < runs; seed++) {
            ofItsToken += seeded(seed);
        }
        assertTrue(ofItsToken > 5 * runs && heldUp > 8 * runs, ofItsToken + ", " + heldUp);
    }
}
