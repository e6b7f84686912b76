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
 * What boots take now, by type, zone and kind, with the nominal time as what is expected until more
 * is known. Guards against work that waits for minutes for machines that come late or never, which
 * counted as room on its way; and, the other way round, against renting everything twice when all
 * machines come late after all.
 */
public final class BootTimes {
    private static final Logger LOG = LoggerFactory.getLogger(BootTimes.class);

    /** Of a kind's last boots, how many count. */
    private static final int WINDOW = 8;

    /** Normal boots take up to one and a half times the nominal time. */
    private static final double LATE_FACTOR = 1.5;

    private final Map<String, MachineType> types;
    private final Map<MachineKind, Deque<Double>> recentByKind = new HashMap<>();

    /** The same by type alone, for kinds of which too few have come. */
    private final Map<String, Deque<Double>> recentByType = new HashMap<>();

    BootTimes(Map<String, MachineType> types) {
        this.types = types;
    }

    /** The machine's first report has come. */
    void recordBoot(Machine machine, double now) {
        double seconds = now - machine.knownSince;
        add(recentByKind.computeIfAbsent(machine.kind(), kind -> new ArrayDeque<>()), seconds);
        add(recentByType.computeIfAbsent(machine.type, key -> new ArrayDeque<>()), seconds);
        MachineType type = types.get(machine.type);
        if (type != null && seconds > LATE_FACTOR * type.bootSeconds()) {
            LOG.info(
                    "machine {} came up late, after {} s instead of {} s",
                    machine.id,
                    Math.round(seconds),
                    type.bootSeconds());
        }
    }

    private static void add(Deque<Double> of, double seconds) {
        of.addLast(seconds);
        if (of.size() > WINDOW) {
            of.removeFirst();
        }
    }

    /**
     * The median of the last boots, at least the nominal time: a machine up at once promises
     * nothing for the next.
     */
    public double expectedSeconds(MachineKind kind) {
        MachineType type = types.get(kind.machineType());
        double nominal = type == null ? 0 : type.bootSeconds();
        Deque<Double> of = recentByKind.get(kind);
        if (of == null || of.size() < WINDOW / 2) {
            of = recentByType.get(kind.machineType());
        }
        if (of == null || of.size() < WINDOW / 2) {
            return nominal;
        }
        return Math.max(
                nominal, of.stream().sorted().skip(of.size() / 2).findFirst().orElse(nominal));
    }

    /** Longer under way than boots take these days: no room to count on. */
    public boolean isLate(Machine machine, double now) {
        return isOverdue(machine, now, LATE_FACTOR);
    }

    /**
     * So long under way that it is not worth its price any more; some take several times as long as
     * others.
     */
    public boolean isHopeless(Machine machine, double now) {
        return isOverdue(machine, now, 4);
    }

    private boolean isOverdue(Machine machine, double now, double times) {
        return !machine.hasReported()
                && now - machine.knownSince > times * expectedSeconds(machine.kind());
    }
}
