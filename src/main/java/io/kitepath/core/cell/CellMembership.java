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
    static final double FRESH_S = 3;

    /**
     * How many summaries in a row a cell that was silent has to send before it is trusted with work
     * again.
     */
    private static final int BACK_AFTER = 3;

    private static final int BACK_AT_MOST = 48;

    enum State {
        UNKNOWN,
        WELL,
        SUSPECTED,
        SILENT
    }

    /** Another cell. */
    final class RemoteCell {
        final String name;
        private Summary summary;
        private double heardAt = Double.NEGATIVE_INFINITY;
        private State state = State.UNKNOWN;
        private int inARow;
        private int needed = BACK_AFTER;
        private double silentSince;

        /** Handed over since its last summary, which cannot show it yet. */
        private double promisedCpus;

        /** Offers that it has not answered. */
        int unconfirmed;

        /** It said that it has no room, or takes nothing: left alone until then. */
        private double restUntil = Double.NEGATIVE_INFINITY;

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

        boolean hears(double now) {
            return now - heardAt < FRESH_S;
        }

        double promisedCpus() {
            return promisedCpus;
        }

        /** Its own word on who leads there, or null. */
        String leader() {
            return summary == null ? null : summary.leader();
        }

        boolean takes(double now) {
            return state == State.WELL
                    && now - heardAt < FRESH_S
                    && summary.acceptsLoans()
                    && now >= restUntil;
        }

        void promise(double cpus) {
            promisedCpus += cpus;
            unconfirmed++;
        }

        void accepted() {
            refusals = 0;
        }

        /** Guards against a full cell that is asked again and again by all the others. */
        void refused(double now, Random random) {
            restUntil =
                    now
                            + RetryBackoff.againS(
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

    void heard(Summary summary, double now) {
        RemoteCell remote = all.get(summary.cell());
        if (remote == null) {
            return; // A cell that this node's file does not name yet.
        }
        remote.summary = summary;
        remote.inARow = now - remote.heardAt < FRESH_S ? remote.inARow + 1 : 1;
        remote.heardAt = now;
        remote.promisedCpus = 0;
        if (remote.state == State.UNKNOWN
                || remote.state == State.SUSPECTED
                || remote.inARow >= remote.needed) {
            become(remote, State.WELL, now);
        }
    }

    /** Looks who has fallen silent. */
    void look(double now) {
        double lease = settings.workers().leaseSeconds();
        for (RemoteCell remote : all.values()) {
            double silence = now - remote.heardAt;
            if (remote.state == State.WELL && silence > FRESH_S) {
                become(remote, State.SUSPECTED, now);
            } else if (remote.state == State.SUSPECTED
                    && (silence > lease || silence > lease / 2 && !othersHear(remote, now))) {
                // As long as some other cell hears it, it may be the way to it that is broken.
                become(remote, State.SILENT, now);
            } else if (remote.state == State.WELL && remote.inARow > 10 * remote.needed) {
                remote.needed = Math.max(BACK_AFTER, remote.needed / 2);
                remote.inARow = 0;
            }
        }
    }

    private boolean othersHear(RemoteCell of, double now) {
        return all.values().stream()
                .anyMatch(
                        n ->
                                n != of
                                        && now - n.heardAt < FRESH_S
                                        && n.summary.reachableCells().contains(of.name));
    }

    /**
     * Guards against a cell that comes and goes, and is handed work each time: it gets less trust
     * each time.
     */
    private void become(RemoteCell remote, State to, double now) {
        if (to == remote.state) {
            return;
        }
        if (to == State.SILENT) {
            remote.needed = Math.min(BACK_AT_MOST, remote.needed * 2);
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
    List<Summary> fresh(double now) {
        return all.values().stream()
                .filter(remote -> remote.hears(now))
                .map(RemoteCell::summary)
                .toList();
    }

    /** The cells heard lately. */
    List<String> hears(double now) {
        List<String> out = new ArrayList<>();
        all.values()
                .forEach(
                        remote -> {
                            if (now - remote.heardAt < FRESH_S) {
                                out.add(remote.name);
                            }
                        });
        return out;
    }

    long silentOnes() {
        return all.values().stream().filter(remote -> remote.state == State.SILENT).count();
    }
}
