package io.kitepath.cli;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.settings.JsonCodec;
import io.kitepath.simulation.Rehearsal;
import io.kitepath.simulation.Rehearsal.Fault;
import io.kitepath.simulation.Rehearsal.Plan;
import io.kitepath.simulation.Rehearsal.Result;
import io.kitepath.simulation.Rehearsal.Topology;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays cells with failures in simulated time and says what their users got. */
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
    private static final double HALF = 0.5;

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
        try {
            for (long s = seed; s < seed + runs; s++) {
                for (Topology way : compare ? Topology.values() : new Topology[] {Topology.CELLS}) {
                    Plan plan = plan(s);
                    Result r = new Rehearsal(plan, way).play();
                    System.out.println(json ? json(plan, way, r) : text(plan, way, r));
                    // Cells apart, and a cell of a size that nobody has, are only there to be
                    // compared with.
                    failed |=
                            !r.violations().isEmpty()
                                    || way == Topology.CELLS
                                            && (r.unfinished() > 0 || r.leastServedShare() < HALF);
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

    private Plan plan(long s) {
        return switch (what) {
            case "spill" -> new Plan(cells, machines, 0.5, 5, forS, 0, s, List.of());
            case "lost" ->
                    new Plan(
                            cells,
                            machines,
                            0.5,
                            1,
                            forS,
                            0,
                            s,
                            List.of(
                                    new Fault("network", 0, forS / 10, 60),
                                    new Fault("nodes", 0, forS / 10 + 90, 60),
                                    new Fault("store", 0, forS / 10 + 180, 60)));
            case "seeds" -> random(s);
            default -> file(s);
        };
    }

    private Plan random(long s) {
        Random r = new Random(s);
        String[] kinds = {"network", "nodes", "store", "holder", "freeze", "zone"};
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            faults.add(
                    new Fault(
                            kinds[r.nextInt(kinds.length)],
                            r.nextInt(cells),
                            r.nextDouble() * forS,
                            2 + 40 * r.nextDouble()));
        }
        return new Plan(cells, machines, 0.4, 1 + 4 * r.nextDouble(), forS, 0.1, s, faults);
    }

    private Plan file(long s) {
        Path f = Path.of(what);
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(f);
        } catch (IOException e) {
            throw new InvalidInputException(f + ": can't be read, and is no builtin plan");
        }
        try {
            DocumentReader t = DocumentReader.of(JsonCodec.parseJson(bytes));
            List<Fault> faults = new ArrayList<>();
            int n = (int) t.integer("cells", 1, 100);
            for (DocumentReader x : t.children("faults")) {
                String kind = x.text("kind");
                if (!List.of("network", "nodes", "store", "holder", "freeze", "zone")
                        .contains(kind)) {
                    throw x.invalid(
                            "kind", "must be network, nodes, store, holder, freeze or zone");
                }
                faults.add(
                        new Fault(
                                kind,
                                (int) x.integer("cell", 0, n - 1),
                                x.number("at_s", 0),
                                x.number("for_s", 0)));
            }
            return new Plan(
                    n,
                    (int) t.integer("machines", 1, 10_000),
                    t.number("load", 0.01),
                    t.numberOr("hot", 0, 1),
                    t.number("for_s", 1),
                    t.numberOr("bad_network", 0, 0),
                    t.has("seed") ? t.count("seed") + s - 1 : s,
                    faults);
        } catch (InvalidInputException invalid) {
            throw new InvalidInputException(f + ": " + invalid.getMessage());
        }
    }

    private static String s(Histogram h, double percentile) {
        return String.format(Locale.ROOT, "%.1f", h.getValueAtPercentile(percentile) / 1000.0);
    }

    private static String text(Plan plan, Topology way, Result r) {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "%s seed %d: %d cells of %d machines, %d jobs, %d tasks%n",
                        way.name().toLowerCase(Locale.ROOT),
                        plan.seed(),
                        plan.cells(),
                        plan.machines(),
                        r.jobs(),
                        r.tasks()));
        text.append(
                String.format(
                        "  waits p50/p99: first cell %s/%s s, others %s/%s s; all done %.0f s after the load%n",
                        s(r.hot(), 50),
                        s(r.hot(), 99),
                        s(r.others(), 50),
                        s(r.others(), 99),
                        r.simulatedSeconds()));
        text.append("  in time:");
        r.served()
                .forEach(
                        (key, x) ->
                                text.append(
                                        String.format(
                                                Locale.ROOT,
                                                " %s %.3f of %d;",
                                                key,
                                                (double) x[0] / x[1],
                                                x[1])));
        text.append(
                String.format(
                        Locale.ROOT,
                        "%n  hand-overs %d, messages %.3f and changes %.3f a task; starts %.3f a "
                                + "task; submissions refused at first %d%n",
                        r.handOvers(),
                        (double) r.messages() / r.tasks(),
                        (double) r.changes() / r.tasks(),
                        (double) r.starts() / r.tasks(),
                        r.refusals()));
        text.append(
                String.format(
                        Locale.ROOT,
                        "  rules broken: %d%s; jobs not done: %d; played in %.1f s, %.0f us a start",
                        r.violations().size(),
                        r.violations().isEmpty()
                                ? ""
                                : " "
                                        + r.violations()
                                                .subList(0, Math.min(3, r.violations().size())),
                        r.unfinished(),
                        r.realSeconds(),
                        1e6 * r.realSeconds() / Math.max(1, r.starts())));
        return text.toString();
    }

    private static String json(Plan plan, Topology way, Result r) {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "{\"way\":\"%s\",\"seed\":%d,\"cells\":%d,\"machines\":%d,\"jobs\":%d,"
                                + "\"tasks\":%d,\"starts\":%d,\"hot_p50\":%s,\"hot_p99\":%s,\"others_p50\":%s,\"others_p99\":%s,"
                                + "\"hand_overs\":%d,\"messages\":%d,\"changes\":%d,\"refusals\":%d,\"took_s\":%.1f,\"real_s\":%.2f,"
                                + "\"broken\":%d,\"unfinished\":%d,\"served\":{",
                        way.name().toLowerCase(Locale.ROOT),
                        plan.seed(),
                        plan.cells(),
                        plan.machines(),
                        r.jobs(),
                        r.tasks(),
                        r.starts(),
                        s(r.hot(), 50),
                        s(r.hot(), 99),
                        s(r.others(), 50),
                        s(r.others(), 99),
                        r.handOvers(),
                        r.messages(),
                        r.changes(),
                        r.refusals(),
                        r.simulatedSeconds(),
                        r.realSeconds(),
                        r.violations().size(),
                        r.unfinished()));
        String comma = "";
        for (Map.Entry<String, int[]> e : r.served().entrySet()) {
            text.append(comma)
                    .append('"')
                    .append(e.getKey())
                    .append("\":")
                    .append(
                            String.format(
                                    Locale.ROOT,
                                    "%.4f",
                                    (double) e.getValue()[0] / e.getValue()[1]));
            comma = ",";
        }
        return text.append("}}").toString();
    }
}
