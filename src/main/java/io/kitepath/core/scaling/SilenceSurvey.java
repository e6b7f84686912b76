package io.kitepath.core.scaling;

import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Counts the machines that are silent or receive no responses, compared with all known machines.
 * Guards against a leader that is itself disconnected from the workers: if many machines look
 * unreachable at once, the fault is probably not theirs, and their workers may be connecting to
 * another node.
 */
final class SilenceSurvey {
    /**
     * Up to one machine in this many may be silent for the fault to be attributed to the machines.
     */
    private static final int FEW_DIVISOR = 8;

    /**
     * Worker leases after which silent machines are released if at least half of all machines still
     * send heartbeats.
     */
    private static final double SOME_SILENT_LEASES = 1.5;

    /** Worker leases after which silent machines are released in any case. */
    private static final double MOST_SILENT_LEASES = 3;

    private final Set<Machine> silent = new HashSet<>();
    private int up;
    private int deafAndUnproven;

    /**
     * Surveys the machines that have sent a heartbeat or have attempts.
     *
     * @param isDeafForLong whether the machine has received no responses for a long time
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
     * Whether a machine may be released after this time of silence: immediately if few machines are
     * silent, otherwise when its lease has certainly expired, so that the release loses no running
     * work.
     */
    boolean mayReleaseSilent(double silentSeconds, double leaseSeconds) {
        boolean few = silent.size() <= Math.max(1, up / FEW_DIVISOR);
        boolean some = silent.size() * 2 <= up;
        return few
                || some && silentSeconds > SOME_SILENT_LEASES * leaseSeconds
                || silentSeconds > MOST_SILENT_LEASES * leaseSeconds;
    }

    /**
     * Whether machines may be released that receive no responses and whose work is unconfirmed; not
     * if they are the majority, as the fault is then probably not theirs.
     */
    boolean mayReleaseDeaf() {
        return deafAndUnproven * 2 <= up;
    }
}
