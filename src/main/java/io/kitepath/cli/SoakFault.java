package io.kitepath.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * One fault of a soak run.
 *
 * @param startSeconds when it begins, from the start of the run
 * @param durationSeconds how long it lasts
 * @param node the index of the node that it concerns
 */
record SoakFault(Kind kind, double startSeconds, double durationSeconds, int node) {
    /** What fails. */
    enum Kind {
        /** The process is killed, and started again at the end of the fault. */
        KILL,
        /** The process stands still. */
        FREEZE,
        /** The node and the state service don't hear each other; what was sent arrives later. */
        STORE_LINK_SILENT,
        /** What the state service answers the node is held up. */
        STORE_RESPONSES_HELD,
        /** Connections between the node and the state service are reset. */
        STORE_LINK_RESET,
        /** What passes between the node and the state service is late. */
        STORE_LINK_DELAYED,
        /** The node and its peers don't hear each other. */
        PEER_LINKS_SILENT,
        /** Connections between the node and its peers are reset. */
        PEER_LINKS_RESET,
        /** Workers' heartbeats don't reach the node, or are held up. */
        WORKER_LINK_SILENT,
        /** The node's answers to workers are held up. */
        WORKER_RESPONSES_HELD,
        /** Connections of workers to the node are reset. */
        WORKER_LINK_RESET,
        /** Users' connections to the node are reset. */
        USER_LINK_RESET,
        /** What passes between users and the node is held up. */
        USER_LINK_SILENT,
        /** The state service refuses everybody. */
        STORE_OUTAGE,
        /** The state service answers late. */
        STORE_SLOW,
        /** The state service carries out transactions and their answers are lost. */
        STORE_RESPONSES_LOST,
        /** Transactions get no answer and are carried out seconds later. */
        STORE_WRITES_LATE,
        /** The state service enforces its request rate at a tenth of it. */
        STORE_THROTTLED,
        /** Some machines hang and go on later. */
        WORKERS_HANG,
        /** Some machines hear neither answers nor direct commands. */
        WORKERS_DEAF,
        /** Copies of heartbeats reach all nodes seconds later, also after a change of leader. */
        HEARTBEATS_COPIED,
        /** Direct commands reach no machine. */
        DIRECT_COMMANDS_REFUSED,
        /** Direct commands reach their machine seconds late. */
        DIRECT_COMMANDS_LATE
    }

    private static final int MAX_OVERLAPPING = 3;

    double endSeconds() {
        return startSeconds + durationSeconds;
    }

    /**
     * Draws faults that end in time, two or three of them at a time.
     *
     * @param seconds until when all faults are over
     * @param leaseSeconds the workers' lease; some faults last longer
     * @return the faults in the order of their starts
     */
    static List<SoakFault> plan(long seed, int nodeCount, double seconds, double leaseSeconds) {
        Random random = random(seed);
        List<SoakFault> faults = new ArrayList<>();
        Kind[] kinds = Kind.values();
        for (int lane = 0; lane < MAX_OVERLAPPING; lane++) {
            double start = random.nextDouble() * seconds / 4;
            while (start < seconds) {
                // Kills come more often than other faults, so that leaders change in series.
                Kind kind =
                        random.nextInt(4) == 0 ? Kind.KILL : kinds[random.nextInt(kinds.length)];
                double duration = durationSeconds(random, leaseSeconds);
                double end = Math.min(seconds, start + duration);
                faults.add(new SoakFault(kind, start, end - start, random.nextInt(nodeCount)));
                start = end + random.nextDouble() * seconds / 10;
            }
        }
        faults.sort(Comparator.comparingDouble(SoakFault::startSeconds));
        return faults;
    }

    /** Returns a source whose first numbers differ between neighbouring seeds. */
    static Random random(long seed) {
        return new Random(new SplittableRandom(seed).nextLong());
    }

    /** From a tenth of a second to longer than the lease, mostly a few seconds. */
    private static double durationSeconds(Random random, double leaseSeconds) {
        return switch (random.nextInt(4)) {
            case 0 -> 0.1 + random.nextDouble();
            case 1 -> leaseSeconds * (1 + random.nextDouble() / 2);
            default -> 1 + random.nextDouble() * leaseSeconds / 2;
        };
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%6.2f to %6.2f s  %s %s",
                startSeconds,
                endSeconds(),
                kind,
                LocalNodeSettings.label(node));
    }
}
