package io.kitepath.cli;

import io.kitepath.core.model.InvalidInputException;
import io.kitepath.simulation.Rehearsal;
import io.kitepath.simulation.Rehearsal.Plan;
import io.kitepath.simulation.Rehearsal.Result;
import io.kitepath.simulation.Rehearsal.Topology;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * {@code kitepath rehearse}: plays cells with failures in simulated time and says what their users
 * got. Exits with 0 if all passed, 1 if not, 2 for a plan that can't be read.
 */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        description = {
            "Plays several cells under load and failures, in simulated time, with this very program's controllers.",
            "Exits 1 if a rule broke, work was left undone, "
                    + "or less than half of a class or team was served.",
            "Builtin plans: spill (the first cell is asked for five times as much), lost (its network, nodes and store are "
                    + "away for a minute each), seeds (random failures on a bad network)."
        })
final class RehearseCommand implements Callable<Integer> {
    private static final double MIN_SERVED_SHARE = 0.5;

    @Parameters(paramLabel = "PLAN", description = "spill, lost, seeds, or a JSON file.")
    String what;

    @Option(names = "--cells", description = "How many cells; ${DEFAULT-VALUE}.")
    int cells = 3;

    @Option(names = "--machines", description = "Machines in each; ${DEFAULT-VALUE}.")
    int machines = 100;

    @Option(names = "--for", description = "Seconds of load; ${DEFAULT-VALUE}.")
    double forS = 300;

    @Option(names = "--seed", description = "The first seed; ${DEFAULT-VALUE}.")
    long seed = 1;

    @Option(
            names = "--runs",
            description = "How many seeds, one after the other; ${DEFAULT-VALUE}.")
    int runs = 1;

    @Option(
            names = "--compare",
            description = "Play it too with the cells apart, and as one cell with all machines.")
    boolean compare;

    @Option(names = "--json", description = "One JSON object a line instead of text.")
    boolean json;

    @Override
    public Integer call() {
        boolean failed = false;
        RehearsalPlans plans = new RehearsalPlans(cells, machines, forS);
        try {
            for (long runSeed = seed; runSeed < seed + runs; runSeed++) {
                for (Topology topology :
                        compare ? Topology.values() : new Topology[] {Topology.CELLS}) {
                    Plan plan = plans.plan(what, runSeed);
                    Result result = new Rehearsal(plan, topology).play();
                    RehearsalReport report = new RehearsalReport(plan, topology, result);
                    System.out.println(json ? report.json() : report.text());
                    failed |= hasFailed(topology, result);
                }
            }
        } catch (InvalidInputException invalid) {
            System.err.println("kitepath: " + invalid.getMessage());
            return 2;
        }
        if (!json) {
            System.out.println(
                    runs + (runs == 1 ? " run: " : " runs: ") + (failed ? "FAILED" : "passed"));
        }
        return failed ? 1 : 0;
    }

    /** Topologies other than cells are only compared with: only a broken rule fails there. */
    private static boolean hasFailed(Topology topology, Result result) {
        return !result.violations().isEmpty()
                || topology == Topology.CELLS
                        && (result.unfinished() > 0
                                || result.leastServedShare() < MIN_SERVED_SHARE);
    }
}
