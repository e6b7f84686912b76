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
                    && summary.takes()
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
                                    facts.workers().reportS(),
                                    facts.workers().leaseS(),
                                    random);
        }
    }

    private final ClusterSettings facts;
    private final Map<String, RemoteCell> all = new LinkedHashMap<>();

    CellMembership(ClusterSettings facts, Iterable<String> others) {
        this.facts = facts;
        others.forEach(n -> all.put(n, new RemoteCell(n)));
    }

    Map<String, RemoteCell> all() {
        return all;
    }

    RemoteCell get(String cell) {
        return all.get(cell);
    }

    void heard(Summary s, double now) {
        RemoteCell n = all.get(s.cell());
        if (n == null) {
            return; // A cell that this node's file does not name yet.
        }
        n.summary = s;
        n.inARow = now - n.heardAt < FRESH_S ? n.inARow + 1 : 1;
        n.heardAt = now;
        n.promisedCpus = 0;
        if (n.state == State.UNKNOWN || n.state == State.SUSPECTED || n.inARow >= n.needed) {
            become(n, State.WELL, now);
        }
    }

    /** Looks who has fallen silent. */
    void look(double now) {
        double lease = facts.workers().leaseS();
        for (RemoteCell n : all.values()) {
            double silence = now - n.heardAt;
            if (n.state == State.WELL && silence > FRESH_S) {
                become(n, State.SUSPECTED, now);
            } else if (n.state == State.SUSPECTED
                    && (silence > lease || silence > lease / 2 && !othersHear(n, now))) {
                // As long as some other cell hears it, it may be the way to it that is broken.
                become(n, State.SILENT, now);
            } else if (n.state == State.WELL && n.inARow > 10 * n.needed) {
                n.needed = Math.max(BACK_AFTER, n.needed / 2);
                n.inARow = 0;
            }
        }
    }

    private boolean othersHear(RemoteCell of, double now) {
        return all.values().stream()
                .anyMatch(
                        n ->
                                n != of
                                        && now - n.heardAt < FRESH_S
                                        && n.summary.hears().contains(of.name));
    }

    /**
     * Guards against a cell that comes and goes, and is handed work each time: it gets less trust
     * each time.
     */
    private void become(RemoteCell n, State to, double now) {
        if (to == n.state) {
            return;
        }
        if (to == State.SILENT) {
            n.needed = Math.min(BACK_AT_MOST, n.needed * 2);
            n.silentSince = n.heardAt;
        }
        if (to == State.SILENT || n.state == State.SILENT) {
            LOG.info(
                    "cell {} is {}{}",
                    n.name,
                    to == State.SILENT ? "silent" : "heard again",
                    n.state == State.SILENT
                            ? " after " + Math.round(now - n.silentSince) + " s"
                            : "");
        }
        n.state = to;
    }

    /** What those said of themselves that are heard now. */
    List<Summary> fresh(double now) {
        return all.values().stream().filter(n -> n.hears(now)).map(RemoteCell::summary).toList();
    }

    /** The cells heard lately. */
    List<String> hears(double now) {
        List<String> out = new ArrayList<>();
        all.values()
                .forEach(
                        n -> {
                            if (now - n.heardAt < FRESH_S) {
                                out.add(n.name);
                            }
                        });
        return out;
    }

    long silentOnes() {
        return all.values().stream().filter(n -> n.state == State.SILENT).count();
    }
}
