package io.kitepath.cli;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.simulation.LoopbackEmulator;
import io.kitepath.simulation.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Kills and freezes node processes while jobs are submitted, then checks that all jobs end, that no
 * rule was broken and that all machines go back to the cloud. All failures follow from the seed.
 */
final class FailureDrill {
    private static final int FIRST_JOB_NUMBER = 100;
    private static final double RELEASE_TIMEOUT_SECONDS = 2 * LocalUser.PATIENCE_SECONDS;

    private final LocalNodes nodes;
    private final int nodeCount;
    private final LocalUser user;
    private final LoopbackEmulator emulator;
    private final SimulatedCluster cluster;
    private final Random random;
    private final List<String> jobs = new ArrayList<>();
    private int kills;
    private int freezes;

    FailureDrill(
            LocalNodes nodes, int nodeCount, LocalUser user, LoopbackEmulator emulator, long seed) {
        this.nodes = nodes;
        this.nodeCount = nodeCount;
        this.user = user;
        this.emulator = emulator;
        this.cluster = emulator.cluster;
        this.random = new Random(seed);
    }

    /** Runs the drill for that time, checks and prints the result; whether it passed. */
    boolean run(double seconds) throws InterruptedException {
        double end = RealTime.nowSeconds() + seconds;
        while (RealTime.nowSeconds() < end) {
            boolean areAllUpgraded = nodes.areAllUpgraded(nodeCount);
            submitNextJob(areAllUpgraded);
            String node = LocalNodeSettings.label(random.nextInt(nodeCount));
            if (nodes.beganWithEarlierVersion() && random.nextInt(3) == 0) {
                nodes.upgradeAtNextStart(node);
            }
            if (areAllUpgraded) {
                lowerStoreLimits();
            }
            fail(node);
            Thread.sleep(1000 + random.nextInt(3000));
        }
        boolean allDone =
                RealTime.waitUntil(
                        LocalUser.PATIENCE_SECONDS, () -> jobs.stream().allMatch(user::isDone));
        List<String> violations = emulator.violations();
        boolean allReleased =
                RealTime.waitUntil(RELEASE_TIMEOUT_SECONDS, emulator::isEverythingReleased);
        return report(allDone, violations, allReleased);
    }

    private void submitNextJob(boolean areAllUpgraded) throws InterruptedException {
        String id = String.format("j-%06d", FIRST_JOB_NUMBER + jobs.size());
        List<String> dependencies = nextDependencies(areAllUpgraded);
        int taskCount = 1 + random.nextInt(12);
        emulator.run(
                () -> {
                    JobSpec spec = SimulatedCluster.job(id, JobSpec.Shape.ARRAY, taskCount, 1);
                    cluster.specs.put(id, spec);
                    cluster.dependencies.put(id, dependencies);
                });
        if (user.submit(id, taskCount, dependencies)) {
            jobs.add(id);
        }
    }

    /** Every other job depends on two before it, unless a node may not know dependencies yet. */
    private List<String> nextDependencies(boolean areAllUpgraded) {
        if (!areAllUpgraded || jobs.size() <= 2 || jobs.size() % 2 != 0) {
            return List.of();
        }
        return List.of(jobs.get(jobs.size() - 1), jobs.get(random.nextInt(jobs.size())));
    }

    /** Lets the store enforce the lower limits that the settings announce, if they do. */
    private void lowerStoreLimits() {
        ClusterSettings.StoreLimits announced = cluster.announcedStoreLimits;
        if (announced == null) {
            return;
        }
        emulator.run(
                () -> {
                    cluster.store.largestValueBytes = (int) (1024 * announced.maxValueKibibytes());
                    cluster.store.largestTransactionOperations =
                            announced.maxTransactionOperations();
                });
    }

    private void fail(String node) throws InterruptedException {
        if (random.nextInt(3) == 0) {
            freezes++;
            nodes.freeze(node, 500 + random.nextInt(7000));
        } else {
            kills++;
            nodes.kill(node);
            nodes.restartLater(node, 100 + random.nextInt(400));
        }
    }

    // ---- report ---------------------------------------------------------------------------------

    private boolean report(boolean allDone, List<String> violations, boolean allReleased) {
        boolean hasPassed = allDone && allReleased && violations.isEmpty();
        System.out.printf(
                "%d jobs, %d kills, %d freezes: %s%n",
                jobs.size(), kills, freezes, hasPassed ? "passed" : "FAILED");
        violations.forEach(violation -> System.out.println("  broken: " + violation));
        if (!allDone) {
            List<String> open = jobs.stream().filter(id -> !user.isDone(id)).toList();
            System.out.println("  not done: " + open);
        }
        if (!allReleased) {
            System.out.println("  machines or acts were left");
        }
        return hasPassed;
    }
}
