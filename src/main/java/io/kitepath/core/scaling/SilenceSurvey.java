package io.kitepath.core.scaling;

import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * How many machines have fallen silent or hear no answers, compared with those that are up. Guards
 * against a leader that is cut off from the workers itself: if many machines look unreachable at
 * once, the fault is hardly theirs, and their workers may be on their way to another node.
 */
final class SilenceSurvey {
    /** Up to this fraction of silent machines, silence is the machines' own fault. */
    private static final int FEW_DIVISOR = 8;

    /** Leases after which silent machines are released if at least half of all still report. */
    private static final double SOME_SILENT_LEASES = 1.5;

    /** Leases after which silent machines are released in any case. */
    private static final double MOST_SILENT_LEASES = 3;

    private final Set<Machine> silent = new HashSet<>();
    private int up;
    private int deafAndUnproven;

    /**
     * @param isDeafForLong whether answers have not reached the machine for long
     */
    static SilenceSurvey of(
            ShardState shard,
            MachineLiveness liveness,
            Predicate<Machine> isDeafForLong,
            double now) {
        SilenceSurvey survey = new SilenceSurvey();
        for (Machine machine : shard.machines().values()) {
            if (!machine.hasReported() && machine.attempts().isEmpty()) {
                continue;
            }
            survey.up++;
            if (liveness.isSilent(machine, now)) {
                survey.silent.add(machine);
            }
            if (isDeafForLong.test(machine) && !machine.isTokenConfirmed()) {
                survey.deafAndUnproven++;
            }
        }
        return survey;
    }

    boolean isSilent(Machine machine) {
        return silent.contains(machine);
    }

    /**
     * Whether a machine that has been silent for so long is released: at once if few are silent,
     * otherwise when its lease has run out for certain, so that nothing is lost by it.
     */
    boolean mayReleaseSilent(double silentSeconds, double leaseSeconds) {
        boolean few = silent.size() <= Math.max(1, up / FEW_DIVISOR);
        boolean some = silent.size() * 2 <= up;
        return few
                || some && silentSeconds > SOME_SILENT_LEASES * leaseSeconds
                || silentSeconds > MOST_SILENT_LEASES * leaseSeconds;
    }

    /**
     * Whether machines that hear no answers and have unproven work are released; not if they are
     * most of all, as then it is hardly they that hear nothing.
     */
    boolean mayReleaseDeaf() {
        return deafAndUnproven * 2 <= up;
    }
}
