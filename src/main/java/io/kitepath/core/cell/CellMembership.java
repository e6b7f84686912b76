package io.kitepath.core.cell;

import io.kitepath.core.model.CellMessage.Summary;
import io.kitepath.core.model.ClusterSettings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What is known of the other cells, from their own words and from who else hears them. Nothing is
 * safe because of it: a silent cell keeps what was lent to it.
 */
final class CellMembership {
    private static final Logger LOG = LoggerFactory.getLogger(CellMembership.class);

    /** Exchanges are a second apart: a summary older than three of them says nothing of now. */
    static final double SUMMARY_FRESH_SECONDS = 3;

    /**
     * How many summaries in a row a cell that was silent has to send before it is trusted with work
     * again.
     */
    private static final int SUMMARIES_UNTIL_HEALTHY = 3;

    private static final int MAX_SUMMARIES_UNTIL_HEALTHY = 48;

    enum State {
        UNKNOWN,
        HEALTHY,
        SUSPECTED,
        SILENT
    }

    /** Another cell. */
    final class RemoteCell {
        final String name;
        private Summary summary;
        private double heardAt = Double.NEGATIVE_INFINITY;
        private State state = State.UNKNOWN;
        private int summariesInARow;
        private int summariesNeeded = SUMMARIES_UNTIL_HEALTHY;
        private double silentSince;

        /** Handed over since its last summary, which cannot show it yet. */
        private double offeredCpus;

        /** Offers that it has not answered. */
        int unconfirmed;

        /** It said that it has no room, or takes nothing: left alone until then. */
        private double pausedUntil = Double.NEGATIVE_INFINITY;

        private int refusals;

        RemoteCell(String name) {
            this.name = name;
        }

        Summary summary() {
            return summary;
        }

        State state() {
            return state;
        }

        boolean isHeard(double now) {
            return now - heardAt < SUMMARY_FRESH_SECONDS;
        }

        double offeredCpus() {
            return offeredCpus;
        }

        /** Its own word on who leads there, or null. */
        String leader() {
            return summary == null ? null : summary.leader();
        }

        boolean acceptsWork(double now) {
            return state == State.HEALTHY
                    && now - heardAt < SUMMARY_FRESH_SECONDS
                    && summary.acceptsLoans()
                    && now >= pausedUntil;
        }

        void reserveOffered(double cpus) {
            offeredCpus += cpus;
            unconfirmed++;
        }

        void onAccepted() {
            refusals = 0;
        }

        /** Guards against a full cell that is asked again and again by all the others. */
        void onRefused(double now, Random random) {
            pausedUntil =
                    now
                            + RetryBackoff.delaySeconds(
                                    refusals++,
                                    settings.workers().heartbeatIntervalSeconds(),
                                    settings.workers().leaseSeconds(),
                                    random);
        }
    }

    private final ClusterSettings settings;
    private final Map<String, RemoteCell> all = new LinkedHashMap<>();

    CellMembership(ClusterSettings settings, Iterable<String> others) {
        this.settings = settings;
        others.forEach(n -> all.put(n, new RemoteCell(n)));
    }

    Map<String, RemoteCell> all() {
        return all;
    }

    RemoteCell get(String cell) {
        return all.get(cell);
    }

    void onSummary(Summary summary, double now) {
        RemoteCell remote = all.get(summary.cell());
        if (remote == null) {
            return; // A cell that this node's file does not name yet.
        }
        remote.summary = summary;
        remote.summariesInARow =
                now - remote.heardAt < SUMMARY_FRESH_SECONDS ? remote.summariesInARow + 1 : 1;
        remote.heardAt = now;
        remote.offeredCpus = 0;
        if (remote.state == State.UNKNOWN
                || remote.state == State.SUSPECTED
                || remote.summariesInARow >= remote.summariesNeeded) {
            changeState(remote, State.HEALTHY, now);
        }
    }

    /** Looks who has fallen silent. */
    void updateStates(double now) {
        double lease = settings.workers().leaseSeconds();
        for (RemoteCell remote : all.values()) {
            double silence = now - remote.heardAt;
            if (remote.state == State.HEALTHY && silence > SUMMARY_FRESH_SECONDS) {
                changeState(remote, State.SUSPECTED, now);
            } else if (remote.state == State.SUSPECTED
                    && (silence > lease || silence > lease / 2 && !isHeardByOthers(remote, now))) {
                // As long as some other cell hears it, it may be the way to it that is broken.
                changeState(remote, State.SILENT, now);
            } else if (remote.state == State.HEALTHY
                    && remote.summariesInARow > 10 * remote.summariesNeeded) {
                remote.summariesNeeded =
                        Math.max(SUMMARIES_UNTIL_HEALTHY, remote.summariesNeeded / 2);
                remote.summariesInARow = 0;
            }
        }
    }

    private boolean isHeardByOthers(RemoteCell of, double now) {
        return all.values().stream()
                .anyMatch(
                        n ->
                                n != of
                                        && now - n.heardAt < SUMMARY_FRESH_SECONDS
                                        && n.summary.reachableCells().contains(of.name));
    }

    /**
     * Guards against a cell that comes and goes, and is handed work each time: it gets less trust
     * each time.
     */
    private void changeState(RemoteCell remote, State to, double now) {
        if (to == remote.state) {
            return;
        }
        if (to == State.SILENT) {
            remote.summariesNeeded =
                    Math.min(MAX_SUMMARIES_UNTIL_HEALTHY, remote.summariesNeeded * 2);
            remote.silentSince = remote.heardAt;
        }
        if (to == State.SILENT || remote.state == State.SILENT) {
            LOG.info(
                    "cell {} is {}{}",
                    remote.name,
                    to == State.SILENT ? "silent" : "heard again",
                    remote.state == State.SILENT
                            ? " after " + Math.round(now - remote.silentSince) + " s"
                            : "");
        }
        remote.state = to;
    }

    /** What those said of themselves that are heard now. */
    List<Summary> freshSummaries(double now) {
        return all.values().stream()
                .filter(remote -> remote.isHeard(now))
                .map(RemoteCell::summary)
                .toList();
    }

    /** The cells heard lately. */
    List<String> heardCells(double now) {
        List<String> out = new ArrayList<>();
        all.values()
                .forEach(
                        remote -> {
                            if (now - remote.heardAt < SUMMARY_FRESH_SECONDS) {
                                out.add(remote.name);
                            }
                        });
        return out;
    }

    long silentCount() {
        return all.values().stream().filter(remote -> remote.state == State.SILENT).count();
    }
}
