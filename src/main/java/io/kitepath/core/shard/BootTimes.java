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
 * How long machines have taken to boot lately, by kind (type, zone, spot or not), with the nominal
 * time as what is expected until more is known. Guards against work that waits for minutes for
 * machines that come late or never, which counted as capacity on its way; and, the other way round,
 * against renting everything twice when all machines come late after all. Not thread-safe; belongs
 * to the shard's thread.
 */
public final class BootTimes {
    private static final Logger LOG = LoggerFactory.getLogger(BootTimes.class);

    /** Of a kind's last boots, how many count. */
    private static final int WINDOW = 8;

    /** Boots known of a kind, or of a type, from which on its median is used. */
    private static final int MIN_KNOWN = WINDOW / 2;

    /** Normal boots take up to one and a half times the nominal time. */
    private static final double LATE_FACTOR = 1.5;

    /** Some boots take several times as long as others; from here on waiting is not worth it. */
    private static final double HOPELESS_FACTOR = 4;

    private final Map<String, MachineType> types;
    private final Map<MachineKind, Deque<Double>> recentByKind = new HashMap<>();

    /** The same by type alone, for kinds of which too few have come. */
    private final Map<String, Deque<Double>> recentByType = new HashMap<>();

    /** Reads the types by name from a map that is kept up to date by others. */
    BootTimes(Map<String, MachineType> types) {
        this.types = types;
    }

    /** The machine's first heartbeat has come, and it is known when its boot began. */
    void recordBoot(Machine machine, double now) {
        double seconds = now - machine.rental().knownSince();
        add(recentByKind.computeIfAbsent(machine.kind(), key -> new ArrayDeque<>()), seconds);
        add(recentByType.computeIfAbsent(machine.type(), key -> new ArrayDeque<>()), seconds);
        MachineType type = types.get(machine.type());
        if (type != null && seconds > LATE_FACTOR * type.bootSeconds()) {
            LOG.info(
                    "machine {} came up late, after {} s instead of {} s",
                    machine.id,
                    Math.round(seconds),
                    type.bootSeconds());
        }
    }

    private static void add(Deque<Double> recent, double seconds) {
        recent.addLast(seconds);
        if (recent.size() > WINDOW) {
            recent.removeFirst();
        }
    }

    /**
     * Seconds that a boot is expected to take: the median of the last ones, but at least the
     * nominal time, as a machine that was up at once promises nothing for the next. 0 for an
     * unknown type.
     */
    public double expectedSeconds(MachineKind kind) {
        MachineType type = types.get(kind.machineType());
        double nominal = type == null ? 0 : type.bootSeconds();
        Deque<Double> recent = recentByKind.get(kind);
        if (isTooFew(recent)) {
            recent = recentByType.get(kind.machineType());
        }
        if (isTooFew(recent)) {
            return nominal;
        }
        double median =
                recent.stream().sorted().skip(recent.size() / 2).findFirst().orElse(nominal);
        return Math.max(nominal, median);
    }

    private static boolean isTooFew(Deque<Double> recent) {
        return recent == null || recent.size() < MIN_KNOWN;
    }

    /** Whether it has been booting for longer than is normal: no capacity to count on. */
    public boolean isLate(Machine machine, double now) {
        return isOverdue(machine, now, LATE_FACTOR);
    }

    /** Whether it has been booting for so long that it is not worth its price any more. */
    public boolean isHopeless(Machine machine, double now) {
        return isOverdue(machine, now, HOPELESS_FACTOR);
    }

    private boolean isOverdue(Machine machine, double now, double factor) {
        return !machine.hasReported()
                && now - machine.rental().knownSince() > factor * expectedSeconds(machine.kind());
    }
}
