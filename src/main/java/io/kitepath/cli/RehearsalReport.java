package io.kitepath.cli;

import io.kitepath.simulation.Rehearsal.Plan;
import io.kitepath.simulation.Rehearsal.Result;
import io.kitepath.simulation.Rehearsal.Topology;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What {@code kitepath rehearse} prints about one rehearsal. */
record RehearsalReport(Plan plan, Topology topology, Result result) {
    private static String seconds(Histogram millis, double percentile) {
        return String.format(Locale.ROOT, "%.1f", millis.getValueAtPercentile(percentile) / 1000.0);
    }

    /** Several lines for people. */
    String text() {
        return header() + waits() + served() + costs() + rules();
    }

    private String served() {
        StringBuilder text = new StringBuilder("  in time:");
        result.served()
                .forEach(
                        (group, counts) ->
                                text.append(
                                        String.format(
                                                Locale.ROOT,
                                                " %s %.3f of %d;",
                                                group,
                                                (double) counts[0] / counts[1],
                                                counts[1])));
        return text.toString();
    }

    private String header() {
        return String.format(
                Locale.ROOT,
                "%s seed %d: %d cells of %d machines, %d jobs, %d tasks%n",
                topology.name().toLowerCase(Locale.ROOT),
                plan.seed(),
                plan.cells(),
                plan.machines(),
                result.jobs(),
                result.tasks());
    }

    private String waits() {
        return String.format(
                "  waits p50/p99: first cell %s/%s s, others %s/%s s; all done %.0f s after the load%n",
                seconds(result.hot(), 50),
                seconds(result.hot(), 99),
                seconds(result.others(), 50),
                seconds(result.others(), 99),
                result.simulatedSeconds());
    }

    private String costs() {
        return String.format(
                Locale.ROOT,
                "%n  hand-overs %d, messages %.3f and changes %.3f a task; starts %.3f a "
                        + "task; submissions refused at first %d%n",
                result.handOvers(),
                (double) result.messages() / result.tasks(),
                (double) result.changes() / result.tasks(),
                (double) result.starts() / result.tasks(),
                result.refusals());
    }

    private String rules() {
        return String.format(
                Locale.ROOT,
                "  rules broken: %d%s; jobs not done: %d; played in %.1f s, %.0f us a start",
                result.violations().size(),
                result.violations().isEmpty()
                        ? ""
                        : " "
                                + result.violations()
                                        .subList(0, Math.min(3, result.violations().size())),
                result.unfinished(),
                result.realSeconds(),
                1e6 * result.realSeconds() / Math.max(1, result.starts()));
    }

    /** One line with a JSON object for scripts. */
    String json() {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "{\"way\":\"%s\",\"seed\":%d,\"cells\":%d,\"machines\":%d,\"jobs\":%d,"
                                + "\"tasks\":%d,\"starts\":%d,\"hot_p50\":%s,\"hot_p99\":%s,\"others_p50\":%s,\"others_p99\":%s,"
                                + "\"hand_overs\":%d,\"messages\":%d,\"changes\":%d,\"refusals\":%d,\"took_s\":%.1f,\"real_s\":%.2f,"
                                + "\"broken\":%d,\"unfinished\":%d,\"served\":{",
                        topology.name().toLowerCase(Locale.ROOT),
                        plan.seed(),
                        plan.cells(),
                        plan.machines(),
                        result.jobs(),
                        result.tasks(),
                        result.starts(),
                        seconds(result.hot(), 50),
                        seconds(result.hot(), 99),
                        seconds(result.others(), 50),
                        seconds(result.others(), 99),
                        result.handOvers(),
                        result.messages(),
                        result.changes(),
                        result.refusals(),
                        result.simulatedSeconds(),
                        result.realSeconds(),
                        result.violations().size(),
                        result.unfinished()));
        String comma = "";
        for (Map.Entry<String, int[]> e : result.served().entrySet()) {
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
