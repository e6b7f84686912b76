package io.kitepath.cli;

import io.kitepath.simulation.InvariantChecker;
import io.kitepath.simulation.LoopbackEmulator;
import io.kitepath.simulation.SimulatedCluster;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One soak run: nodes as processes of their own, faults drawn from the seed, users the whole time,
 * and the rules checked by what users, machines, cloud and state service see.
 */
final class SoakRun {
    /**
     * The sizes of a run.
     *
     * @param machines how many machines the cloud has
     * @param faultSeconds until when faults begin and end
     */
    record Size(int nodes, int machines, double faultSeconds) {}

    private static final double START_TIMEOUT_SECONDS = 60;

    /** After the troubles, no job may wait longer than this beside room; then it has to run. */
    private static final double DONE_WITHIN_SECONDS = 150;

    private static final double RELEASED_WITHIN_SECONDS = 120;
    private static final double HEARTBEAT_SECONDS = 1;
    private static final double LEASE_SECONDS = 8;
    private static final double MIN_TASK_SECONDS = 2;

    /** Some tasks run for longer than a lease, so that they outlive a change of leader. */
    private static final int TASK_SECONDS_SPREAD = 10;

    private static final double IMAGE_SECONDS = 0.2;
    private static final double BOOT_SECONDS = 0.5;
    private static final int INITIAL_JOBS = 3;
    private static final double MIN_JOBS_PER_SECOND = 0.5;
    private static final double JOBS_PER_SECOND_AND_MACHINE = 1 / 15.0;

    /** Fewer than workers and users would take together. */
    private static final int SCARCE_SOCKETS = 32;

    private static final int AMPLE_SOCKETS = 1000;
    private static final int LOG_LINES = 25;

    /** What a node logs when it finds a rule of its own broken, or a handler throws. */
    private static final List<String> LOGGED_FAULTS =
            List.of("invariant violated", "handler failed", "OutOfMemoryError");

    private final long seed;
    private final Size size;
    private final Random random;
    private final List<SoakFault> faults;
    private final List<String> violations = new ArrayList<>();
    private final Path directory;
    private final LocalNodes nodes;
    private final EventLoopGroup group = new NioEventLoopGroup(1);

    SoakRun(long seed, Size size) throws IOException {
        this.seed = seed;
        this.size = size;
        this.random = SoakFault.random(seed);
        this.faults = SoakFault.plan(seed, size.nodes, size.faultSeconds, LEASE_SECONDS);
        this.directory = Files.createTempDirectory("kitepath-soak-" + seed + "-");
        this.nodes = new LocalNodes(directory, Optional.empty());
    }

    /**
     * Runs, checks, and prints the result; the logs are kept if a rule was broken.
     *
     * @return whether no rule was broken
     */
    boolean run() throws IOException, InterruptedException {
        Thread endNodes = new Thread(nodes::endAll, "soak-end-nodes");
        Runtime.getRuntime().addShutdownHook(endNodes);
        boolean hasPassed;
        try {
            hasPassed = runNodes();
        } finally {
            nodes.endAll();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
            Runtime.getRuntime().removeShutdownHook(endNodes);
        }
        if (hasPassed) {
            deleteDirectory();
        }
        return hasPassed;
    }

    private void deleteDirectory() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }

    private boolean runNodes() throws IOException, InterruptedException {
        SimulatedCluster cluster = cluster();
        SoakNetwork network = new SoakNetwork(group.next(), size.nodes);
        Map<String, InetSocketAddress> nodesForWorkers = new LinkedHashMap<>();
        for (int node = 0; node < size.nodes; node++) {
            nodesForWorkers.put(LocalNodeSettings.label(node), network.workerAddresses().get(node));
        }
        LoopbackEmulator emulator = new LoopbackEmulator(group, cluster, nodesForWorkers);
        List<InetSocketAddress> services = emulator.start();
        network.connectStore(services.get(0));
        int socketLimit = random.nextBoolean() ? SCARCE_SOCKETS : AMPLE_SOCKETS;
        for (int node = 0; node < size.nodes; node++) {
            nodes.add(
                    LocalNodeSettings.label(node),
                    settings(network, node, services.get(1), cluster, socketLimit));
        }
        SoakUsers users = new SoakUsers(group.next(), emulator, network.userAddresses(), seed);
        try {
            if (!RealTime.waitUntil(
                    START_TIMEOUT_SECONDS,
                    new LocalUser(network.userAddresses())::areAllNodesHealthy)) {
                violations.add("the nodes did not come up");
                return report(users, socketLimit);
            }
            play(new SoakInjector(nodes, network, emulator, seed), users, emulator);
            conclude(users, emulator);
            return report(users, socketLimit);
        } finally {
            users.stop();
        }
    }

    private SimulatedCluster cluster() {
        SimulatedCluster cluster = new SimulatedCluster();
        cluster.heartbeatIntervalSeconds = HEARTBEAT_SECONDS;
        cluster.leaseSeconds = LEASE_SECONDS;
        cluster.cloud.capacity = size.machines;
        cluster.cloud.bootSeconds = machine -> BOOT_SECONDS;
        cluster.taskSeconds =
                jobId -> MIN_TASK_SECONDS + Math.floorMod(jobId.hashCode(), TASK_SECONDS_SPREAD);
        cluster.imageFetchSeconds = machine -> IMAGE_SECONDS;
        cluster.reportsChangesImmediately = true;
        return cluster;
    }

    private static Map<String, Object> settings(
            SoakNetwork network,
            int node,
            InetSocketAddress cloud,
            SimulatedCluster cluster,
            int socketLimit) {
        return new LocalNodeSettings(
                        network.publicAddresses(),
                        network.internalAddressesFor(node),
                        network.storeAddressFor(node),
                        cloud,
                        cluster,
                        socketLimit)
                .document(node);
    }

    // ---- the faults -----------------------------------------------------------------------------

    /** An action of the run, due at a time after its start. */
    private record Step(double atSeconds, Action action) {}

    private interface Action {
        void run() throws InterruptedException;
    }

    /** Plays all faults in time order, while users submit jobs. */
    private void play(SoakInjector injector, SoakUsers users, LoopbackEmulator emulator)
            throws InterruptedException {
        double startedAt = RealTime.nowSeconds();
        for (Step step : steps(injector, users)) {
            double waitSeconds = startedAt + step.atSeconds - RealTime.nowSeconds();
            Thread.sleep(Math.max(0, Math.round(1000 * waitSeconds)));
            step.action.run();
        }
        injector.endAll(size.nodes);
        emulator.run(emulator.cluster.invariants::troublesAreOver);
    }

    private List<Step> steps(SoakInjector injector, SoakUsers users) {
        List<Step> steps = new ArrayList<>();
        for (SoakFault fault : faults) {
            steps.add(new Step(fault.startSeconds(), () -> injector.begin(fault)));
            steps.add(new Step(fault.endSeconds(), () -> injector.end(fault)));
        }
        int jobCount = INITIAL_JOBS + (int) (size.faultSeconds * jobsPerSecond());
        for (int job = 0; job < jobCount; job++) {
            double at = job < INITIAL_JOBS ? 0 : random.nextDouble() * size.faultSeconds;
            steps.add(new Step(at, users::submitNextJob));
        }
        steps.sort((one, other) -> Double.compare(one.atSeconds, other.atSeconds));
        return steps;
    }

    // ---- the checks -----------------------------------------------------------------------------

    /** Waits until all that the rules ask for has come about; what has not in time is broken. */
    private void conclude(SoakUsers users, LoopbackEmulator emulator) throws InterruptedException {
        awaitAnswers(users);
        if (!RealTime.waitUntil(DONE_WITHIN_SECONDS, () -> users.unfinished().isEmpty())) {
            violations.add("not done: " + users.unfinished());
        }
        if (!RealTime.waitUntil(RELEASED_WITHIN_SECONDS, emulator::isEverythingReleased)) {
            violations.add("machines or intents of the cloud are left");
        }
        violations.addAll(emulator.violations());
        nodes.unexpectedEnds().forEach(end -> violations.add("ended by itself: " + end));
        violations.addAll(loggedFaults());
    }

    /** Jobs keep coming meanwhile, so that the nodes have as much to do as before. */
    private void awaitAnswers(SoakUsers users) throws InterruptedException {
        double overAt = RealTime.nowSeconds();
        List<String> jobs = users.acceptedJobs();
        while (!users.unansweredSince(overAt, jobs).isEmpty()) {
            if (RealTime.nowSeconds() - overAt > InvariantChecker.FORGOTTEN_AFTER_SECONDS) {
                violations.add("unanswered: " + users.unansweredSince(overAt, jobs));
                return;
            }
            users.submitNextJob();
            Thread.sleep(Math.round(1000 / jobsPerSecond()));
        }
    }

    private double jobsPerSecond() {
        return Math.max(MIN_JOBS_PER_SECOND, size.machines * JOBS_PER_SECOND_AND_MACHINE);
    }

    private List<String> loggedFaults() {
        List<String> found = new ArrayList<>();
        for (int node = 0; node < size.nodes; node++) {
            for (String line : logLines(node)) {
                if (LOGGED_FAULTS.stream().anyMatch(line::contains)) {
                    found.add(LocalNodeSettings.label(node) + " logs: " + line);
                }
            }
        }
        return found;
    }

    private List<String> logLines(int node) {
        Path log = directory.resolve(LocalNodeSettings.label(node) + ".log");
        try (Stream<String> lines = Files.lines(log)) {
            return lines.toList();
        } catch (IOException unreadable) {
            return List.of("log unreadable: " + unreadable);
        }
    }

    // ---- the report -----------------------------------------------------------------------------

    private boolean report(SoakUsers users, int socketLimit) {
        boolean hasPassed = violations.isEmpty();
        System.out.printf(
                Locale.ROOT,
                "seed %d: %s: faults=%d jobs=%d cancelled=%d answers=%d unanswered=%d sockets=%d%n",
                seed,
                hasPassed ? "passed" : "FAILED",
                faults.size(),
                users.jobCount(),
                users.cancelledCount(),
                users.answerCount(),
                users.unansweredCount(),
                socketLimit);
        if (!hasPassed) {
            printFailure();
        }
        return hasPassed;
    }

    private void printFailure() {
        violations.forEach(violation -> System.out.println("  broken: " + violation));
        System.out.println("  faults, by time:");
        faults.forEach(fault -> System.out.println("    " + fault));
        System.out.println("  logs are in " + directory + "; their last lines:");
        for (int node = 0; node < size.nodes; node++) {
            List<String> lines = logLines(node);
            System.out.println("  " + LocalNodeSettings.label(node) + ":");
            lines.subList(Math.max(0, lines.size() - LOG_LINES), lines.size())
                    .forEach(line -> System.out.println("    " + line));
        }
    }
}
