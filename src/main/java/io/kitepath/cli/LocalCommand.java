package io.kitepath.cli;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.settings.JsonCodec;
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
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code kitepath local}: nodes as real processes on this machine, with a {@link LoopbackEmulator}
 * for the services that they need, a first job, and on request a {@link FailureDrill}. Exits with 0
 * if all went well, 1 if a job was not done or the drill failed, 2 for options out of range.
 */
@Command(
        name = "local",
        mixinStandardHelpOptions = true,
        description = {
            "Runs nodes as processes of their own on loopback, with stand-ins of state service, cloud and workers, and a first job.",
            "With --drill it ends nodes with SIGKILL and freezes them with SIGSTOP while jobs come, and says passed or FAILED."
        })
final class LocalCommand implements Callable<Integer> {
    private static final double START_TIMEOUT_SECONDS = 20;
    private static final String FIRST_JOB = "j-000001";
    private static final int FIRST_JOB_TASKS = 4;
    private static final String DEPENDENT_JOB = "j-000002";
    private static final int DEPENDENT_JOB_TASKS = 2;

    @Option(names = "--nodes", description = "How many nodes; ${DEFAULT-VALUE}.")
    int count = 3;

    @Option(
            names = "--machines",
            description = "How many machines the cloud has; ${DEFAULT-VALUE}.")
    int machines = 12;

    @Option(names = "--task-s", description = "How long a task runs, in seconds; ${DEFAULT-VALUE}.")
    double taskS = 2;

    @Option(names = "--once", description = "End when the first job is done.")
    boolean once;

    @Option(names = "--drill", description = "Kill and freeze nodes while jobs come.")
    boolean drill;

    @Option(names = "--for", description = "Seconds of drill; ${DEFAULT-VALUE}.")
    double forS = 60;

    @Option(
            names = "--earlier",
            paramLabel = "JAR",
            description = {
                "A jar of an earlier version: nodes start with it, and with --drill are killed and come back with this one,",
                "one after the other; after that limits of the state service fall and pipelines are handed in."
            })
    Path earlier;

    @Option(names = "--seed", description = "Of the drill's failures; ${DEFAULT-VALUE}.")
    long seed = 1;

    @Override
    public Integer call() throws Exception {
        if (count < 1 || count > 9 || machines < 1 || machines > 500 || taskS < 0) {
            System.err.println("kitepath: 1 to 9 nodes, 1 to 500 machines and no negative times");
            return 2;
        }
        double startedAt = RealTime.nowSeconds();
        Path directory = Files.createTempDirectory("kitepath-local-");
        LocalNodes nodes = new LocalNodes(directory, Optional.ofNullable(earlier));
        EventLoopGroup group = new NioEventLoopGroup(1);
        Runtime.getRuntime().addShutdownHook(new Thread(nodes::endAll, "local-end-nodes"));
        try {
            return run(directory, nodes, group, startedAt);
        } finally {
            nodes.endAll();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private int run(Path directory, LocalNodes nodes, EventLoopGroup group, double startedAt)
            throws IOException, InterruptedException {
        List<InetSocketAddress> publicAddresses = new ArrayList<>();
        List<InetSocketAddress> internalAddresses = new ArrayList<>();
        Map<String, InetSocketAddress> addressesByLabel = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            publicAddresses.add(LoopbackAddresses.free());
            internalAddresses.add(LoopbackAddresses.free());
            addressesByLabel.put(LocalNodeSettings.label(i), publicAddresses.get(i));
        }
        SimulatedCluster cluster = cluster();
        LoopbackEmulator emulator = new LoopbackEmulator(group, cluster, addressesByLabel);
        List<InetSocketAddress> services = emulator.start();
        InetSocketAddress stateAddress = services.get(0);
        LocalNodeSettings settings =
                new LocalNodeSettings(
                        publicAddresses, internalAddresses, stateAddress, services.get(1), cluster);
        for (int i = 0; i < count; i++) {
            nodes.add(LocalNodeSettings.label(i), settings.document(i));
        }
        LocalUser user = new LocalUser(publicAddresses);
        if (!RealTime.waitUntil(START_TIMEOUT_SECONDS, user::areAllNodesHealthy)) {
            System.err.println(
                    "kitepath: the nodes did not come up; their logs are in " + directory);
            return 1;
        }
        printNodesUp(startedAt, stateAddress, directory);
        printFirstJob(directory, publicAddresses.get(0));
        boolean isDone = runFirstJobs(user);
        printFirstJobsDone(isDone, startedAt);
        if (!isDone || once) {
            return isDone ? 0 : 1;
        }
        if (drill) {
            return new FailureDrill(nodes, count, user, emulator, seed).run(forS) ? 0 : 1;
        }
        System.out.println("until you end this with Ctrl-C");
        Thread.sleep(Long.MAX_VALUE);
        return 0;
    }

    private SimulatedCluster cluster() {
        SimulatedCluster cluster = new SimulatedCluster();
        cluster.cloud.capacity = machines;
        cluster.cloud.bootSeconds = n -> 0.5;
        cluster.taskSeconds = jobId -> taskS;
        cluster.reportsChangesImmediately = true;
        if (earlier != null) {
            cluster.announcedStoreLimits = new ClusterSettings.StoreLimits(1000, 500, 2, 13);
        }
        return cluster;
    }

    /** Runs a first job and, unless nodes are of an earlier version, one that depends on it. */
    private boolean runFirstJobs(LocalUser user) throws InterruptedException {
        boolean isDone = user.submit(FIRST_JOB, FIRST_JOB_TASKS, List.of());
        if (earlier == null) {
            isDone &=
                    user.submit(DEPENDENT_JOB, DEPENDENT_JOB_TASKS, List.of(FIRST_JOB))
                            && waitUntilDone(user, DEPENDENT_JOB);
        }
        isDone &= waitUntilDone(user, FIRST_JOB);
        return isDone;
    }

    private static boolean waitUntilDone(LocalUser user, String job) throws InterruptedException {
        return RealTime.waitUntil(LocalUser.PATIENCE_SECONDS, () -> user.isDone(job));
    }

    // ---- output ---------------------------------------------------------------------------------

    private void printNodesUp(double startedAt, InetSocketAddress stateAddress, Path directory) {
        System.out.printf(
                Locale.ROOT,
                "%d nodes are up after %.1f s; state service at %s, logs in %s%n",
                count,
                RealTime.nowSeconds() - startedAt,
                LoopbackAddresses.text(stateAddress),
                directory);
    }

    /** Writes the first job's file and says how to hand it in and look at it. */
    private static void printFirstJob(Path directory, InetSocketAddress node) throws IOException {
        Path file = directory.resolve("first-job.json");
        Map<String, Object> job = LocalUser.jobDocument(FIRST_JOB, FIRST_JOB_TASKS, List.of());
        Files.write(file, JsonCodec.toJson(job));
        String address = LoopbackAddresses.text(node);
        System.out.println("a first job, and how to hand it in and look at it:");
        System.out.println("  kitepath submit --node " + address + " " + file);
        System.out.println("  kitepath status --node " + address + " " + FIRST_JOB);
    }

    private void printFirstJobsDone(boolean isDone, double startedAt) {
        System.out.printf(
                Locale.ROOT,
                "%s %s after %.1f s%n",
                earlier == null
                        ? "the first job and the one that waits for it are"
                        : "the first job is",
                isDone ? "done" : "NOT done",
                RealTime.nowSeconds() - startedAt);
    }
}
