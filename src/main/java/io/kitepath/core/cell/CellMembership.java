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
 * Failure detector for the other cells: by their summaries, and by which cells those of others say
 * they hear. It only decides where work is offered; no correctness depends on it, and a silent cell
 * keeps what was lent to it.
 */
final class CellMembership {
    private static final Logger LOG = LoggerFactory.getLogger(CellMembership.class);

    /** Summaries are exchanged every second; one older than three of these is out of date. */
    static final double SUMMARY_FRESH_SECONDS = 3;

    /** Consecutive summaries after which a cell that was silent is offered work again. */
    private static final int SUMMARIES_UNTIL_HEALTHY = 3;

    private static final int MAX_SUMMARIES_UNTIL_HEALTHY = 48;

    /**
     * A healthy cell has to be heard for this many times the summaries that it needed, before it
     * needs half as many the next time.
     */
    private static final int SUMMARIES_PER_FORGIVENESS = 10;

    /** What is thought of another cell. */
    private enum State {
        /** Not heard yet by this leader. */
        UNKNOWN,
        /** Heard, and heard often enough since it was silent. */
        HEALTHY,
        /** Not heard of late; one summary makes it healthy again. */
        SUSPECTED,
        /** Not heard for long; has to be heard several times in a row to be healthy. */
        SILENT
    }

    /** Another cell, as this one knows it. Times are in seconds on the steady clock. */
    final class RemoteCell {
        final String name;
        private Summary summary;
        private double heardAt = Double.NEGATIVE_INFINITY;
        private State state = State.UNKNOWN;
        private int summariesInARow;
        private int summariesNeeded = SUMMARIES_UNTIL_HEALTHY;
        private double silentSince;

        /** Offered since its last summary, which cannot show it yet. */
        private double offeredCpus;

        /** Loans whose first offer it has not answered. */
        private int unconfirmedOffers;

        /** It has refused an offer: no more are made until then. */
        private double pausedUntil = Double.NEGATIVE_INFINITY;

        private int refusals;

        RemoteCell(String name) {
            this.name = name;
        }

        /** Its last one, or null. */
        Summary summary() {
            return summary;
        }

        /** Whether its last summary is fresh. */
        boolean isHeard(double now) {
            return now - heardAt < SUMMARY_FRESH_SECONDS;
        }

        /** CPUs of the tasks that it was offered since its last summary. */
        double offeredCpus() {
            return offeredCpus;
        }

        /** Loans whose first offer it has not answered. */
        int unconfirmedOffers() {
            return unconfirmedOffers;
        }

        /** The node that leads it by its last summary, or null. */
        String leader() {
            return summary == null ? null : summary.leader();
        }

        /** Whether it may be offered work now. */
        boolean acceptsWork(double now) {
            return state == State.HEALTHY
                    && isHeard(now)
                    && summary.acceptsLoans()
                    && now >= pausedUntil;
        }

        /** It is to be offered a loan of tasks with so many CPUs. */
        void reserveOffered(double cpus) {
            offeredCpus += cpus;
            unconfirmedOffers++;
        }

        /** The first offer of a loan was answered, or given up. */
        void onFirstOfferEnded() {
            unconfirmedOffers = Math.max(0, unconfirmedOffers - 1);
        }

        /** It has accepted a loan. */
        void onAccepted() {
            refusals = 0;
        }

        /**
         * It has refused a loan: pauses offers, so that a full cell is not flooded by all others.
         */
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
        others.forEach(name -> all.put(name, new RemoteCell(name)));
    }

    /** By name. */
    Map<String, RemoteCell> all() {
        return all;
    }

    /** Null if this node's cells file does not name it. */
    RemoteCell get(String cell) {
        return all.get(cell);
    }

    /** Takes note of a summary that another cell has sent. */
    void onSummary(Summary summary, double now) {
        RemoteCell remote = all.get(summary.cell());
        if (remote == null) {
            return; // This node's cells file does not name it yet.
        }
        remote.summary = summary;
        remote.summariesInARow = remote.isHeard(now) ? remote.summariesInARow + 1 : 1;
        remote.heardAt = now;
        remote.offeredCpus = 0;
        if (remote.state == State.UNKNOWN
                || remote.state == State.SUSPECTED
                || remote.summariesInARow >= remote.summariesNeeded) {
            changeState(remote, State.HEALTHY, now);
        }
    }

    /** Finds the cells that are not heard any more. */
    void updateStates(double now) {
        double lease = settings.workers().leaseSeconds();
        for (RemoteCell remote : all.values()) {
            double silence = now - remote.heardAt;
            if (remote.state == State.HEALTHY && silence > SUMMARY_FRESH_SECONDS) {
                changeState(remote, State.SUSPECTED, now);
            } else if (remote.state == State.SUSPECTED
                    && (silence > lease || silence > lease / 2 && !isHeardByOthers(remote, now))) {
                // While another cell hears it, perhaps only the network between the two is broken.
                changeState(remote, State.SILENT, now);
            } else if (remote.state == State.HEALTHY
                    && remote.summariesInARow
                            > SUMMARIES_PER_FORGIVENESS * remote.summariesNeeded) {
                remote.summariesNeeded =
                        Math.max(SUMMARIES_UNTIL_HEALTHY, remote.summariesNeeded / 2);
                remote.summariesInARow = 0;
            }
        }
    }

    private boolean isHeardByOthers(RemoteCell silent, double now) {
        return all.values().stream()
                .filter(other -> other != silent && other.isHeard(now))
                .anyMatch(other -> other.summary.reachableCells().contains(silent.name));
    }

    /** A cell that falls silent again and again has to be heard longer each time. */
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

    /** The summaries of the cells that are heard now. */
    List<Summary> freshSummaries(double now) {
        return all.values().stream()
                .filter(remote -> remote.isHeard(now))
                .map(RemoteCell::summary)
                .toList();
    }

    /** The names of the cells that are heard now. */
    List<String> heardCells(double now) {
        List<String> names = new ArrayList<>();
        for (RemoteCell remote : all.values()) {
            if (remote.isHeard(now)) {
                names.add(remote.name);
            }
        }
        return names;
    }

    /** How many cells are silent. */
    long silentCount() {
        return all.values().stream().filter(remote -> remote.state == State.SILENT).count();
    }
}
