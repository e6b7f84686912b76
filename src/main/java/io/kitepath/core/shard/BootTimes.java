package io.kitepath.core.shard;

import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Estimates how long machines take to boot, by kind (type, zone, spot or not), from their recent
 * boots. The nominal boot time of the type is used until enough boots are known. Guards against
 * work that waits minutes for machines that boot late or never but are counted as incoming
 * capacity, and against renting every machine twice when all of them boot late. Not thread-safe;
 * belongs to the shard's thread.
 */
public final class BootTimes {
    private static final Logger LOG = LoggerFactory.getLogger(BootTimes.class);

    /** Number of most recent boots kept for each kind and each type. */
    private static final int MAX_RECENT_BOOTS = 8;

    /** Minimum number of recorded boots of a kind, or of a type, before its median is used. */
    private static final int MIN_RECORDED_BOOTS = MAX_RECENT_BOOTS / 2;

    /**
     * Factor of the expected boot time above which a boot is late; normal boots take up to 1.5
     * times the nominal time.
     */
    private static final double LATE_FACTOR = 1.5;

    /**
     * Factor of the expected boot time above which a boot is given up; slow boots may take several
     * times as long as others.
     */
    private static final double BOOT_TIMEOUT_FACTOR = 4;

    private final Map<String, MachineType> types;
    private final Map<MachineKind, Deque<Double>> recentByKind = new HashMap<>();

    /** Recent boot times by type alone, for kinds with too few recorded boots. */
    private final Map<String, Deque<Double>> recentByType = new HashMap<>();

    /**
     * Creates an estimator without recorded boots.
     *
     * @param types the machine types by name; a live view that the caller keeps up to date
     */
    BootTimes(Map<String, MachineType> types) {
        this.types = types;
    }

    /**
     * Records the boot time of a machine whose first heartbeat has arrived and whose boot start is
     * known.
     */
    void recordBoot(Machine machine, double now) {
        double seconds = now - machine.rental().knownSince();
        addToWindow(
                recentByKind.computeIfAbsent(machine.kind(), key -> new ArrayDeque<>()), seconds);
        addToWindow(
                recentByType.computeIfAbsent(machine.type(), key -> new ArrayDeque<>()), seconds);
        MachineType type = types.get(machine.type());
        if (type != null && seconds > LATE_FACTOR * type.bootSeconds()) {
            LOG.info(
                    "machine booted late: machine={} bootSeconds={} nominalBootSeconds={}",
                    machine.id,
                    Math.round(seconds),
                    type.bootSeconds());
        }
    }

    private static void addToWindow(Deque<Double> recentSeconds, double seconds) {
        recentSeconds.addLast(seconds);
        if (recentSeconds.size() > MAX_RECENT_BOOTS) {
            recentSeconds.removeFirst();
        }
    }

    /**
     * Returns the expected boot time in seconds: the median of the recent boots, but at least the
     * nominal time, because one fast boot does not mean that the next one is fast, too. Returns 0
     * for an unknown type.
     */
    public double expectedSeconds(MachineKind kind) {
        MachineType type = types.get(kind.machineType());
        double nominal = type == null ? 0 : type.bootSeconds();
        Deque<Double> recentSeconds = recentByKind.get(kind);
        if (hasTooFewBoots(recentSeconds)) {
            recentSeconds = recentByType.get(kind.machineType());
        }
        if (hasTooFewBoots(recentSeconds)) {
            return nominal;
        }
        double median =
                recentSeconds.stream()
                        .sorted()
                        .skip(recentSeconds.size() / 2)
                        .findFirst()
                        .orElse(nominal);
        return Math.max(nominal, median);
    }

    private static boolean hasTooFewBoots(Deque<Double> recentSeconds) {
        return recentSeconds == null || recentSeconds.size() < MIN_RECORDED_BOOTS;
    }

    /**
     * Whether the machine has been booting for longer than normal, so that it must not be counted
     * as incoming capacity.
     */
    public boolean isBootLate(Machine machine, double now) {
        return isOverdue(machine, now, LATE_FACTOR);
    }

    /** Whether the machine has been booting for so long that it is no longer worth its price. */
    public boolean isBootTimedOut(Machine machine, double now) {
        return isOverdue(machine, now, BOOT_TIMEOUT_FACTOR);
    }

    private boolean isOverdue(Machine machine, double now, double factor) {
        return !machine.hasReported()
                && now - machine.rental().knownSince() > factor * expectedSeconds(machine.kind());
    }
}
