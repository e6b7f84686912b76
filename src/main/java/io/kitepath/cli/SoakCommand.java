package io.kitepath.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code kitepath soak}: runs with random faults on real processes. Exits with 0 if no rule was
 * broken, 1 if one was, 2 for options out of range.
 */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = {
            "Runs nodes as processes of their own on loopback while random faults overlap: kills, freezes, cut, reset and slow links,",
            "outages and lost answers of the state service, machines that hang. Users submit, ask and cancel the whole time;",
            "what they, the machines and the cloud see is checked. All faults of a run follow from its seed."
        })
final class SoakCommand implements Callable<Integer> {
    private static final int MAX_RUNS = 10_000;
    private static final int MAX_NODES = 9;
    private static final int MAX_MACHINES = 500;
    private static final double MIN_SECONDS = 5;
    private static final double MAX_SECONDS = 3600;

    @Option(names = "--seed", description = "Of the first run; ${DEFAULT-VALUE}.")
    long seed = 1;

    @Option(
            names = "--runs",
            description = "How many runs, each with the next seed; ${DEFAULT-VALUE}.")
    int runs = 1;

    @Option(names = "--nodes", description = "How many nodes; ${DEFAULT-VALUE}.")
    int nodes = 3;

    @Option(
            names = "--machines",
            description = "How many machines the cloud has; ${DEFAULT-VALUE}.")
    int machines = 40;

    @Option(names = "--for", description = "Seconds of faults in each run; ${DEFAULT-VALUE}.")
    double seconds = 30;

    @Override
    public Integer call() throws Exception {
        if (runs < 1
                || runs > MAX_RUNS
                || nodes < 1
                || nodes > MAX_NODES
                || machines < 1
                || machines > MAX_MACHINES
                || !(seconds >= MIN_SECONDS && seconds <= MAX_SECONDS)) {
            System.err.println(
                    "kitepath: 1 to 10000 runs, 1 to 9 nodes, 1 to 500 machines, 5 to 3600 seconds");
            return 2;
        }
        int failed = 0;
        for (long next = seed; next < seed + runs; next++) {
            SoakRun run = new SoakRun(next, new SoakRun.Size(nodes, machines, seconds));
            failed += run.run() ? 0 : 1;
        }
        System.out.println(runs + " runs, " + failed + " failed");
        return failed == 0 ? 0 : 1;
    }
}
