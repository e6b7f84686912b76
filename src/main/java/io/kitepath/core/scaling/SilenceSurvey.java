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
    private static final int FEW_SILENT_DIVISOR = 8;

    /**
     * Worker leases after which silent machines are released if at least half of all machines still
     * send heartbeats.
     */
    private static final double HALF_SILENT_LEASES = 1.5;

    /** Worker leases after which silent machines are released in any case. */
    private static final double MOST_SILENT_LEASES = 3;

    private final Set<Machine> silentMachines = new HashSet<>();
    private int surveyedCount;
    private int unconfirmedWithoutResponsesCount;

    /**
     * Surveys the machines that have sent a heartbeat or have attempts.
     *
     * @param isWithoutResponsesForLong whether the machine has received no responses for a long
     *     time
     */
    static SilenceSurvey of(
            ShardState shard,
            MachineLiveness liveness,
            Predicate<Machine> isWithoutResponsesForLong,
            double now) {
        SilenceSurvey survey = new SilenceSurvey();
        for (Machine machine : shard.machines().values()) {
            if (!machine.hasReported() && machine.attempts().isEmpty()) {
                continue;
            }
            survey.surveyedCount++;
            if (liveness.isSilent(machine, now)) {
                survey.silentMachines.add(machine);
            }
            if (isWithoutResponsesForLong.test(machine) && !machine.isTokenConfirmed()) {
                survey.unconfirmedWithoutResponsesCount++;
            }
        }
        return survey;
    }

    boolean isSilent(Machine machine) {
        return silentMachines.contains(machine);
    }

    /**
     * Whether a machine may be released after this time of silence: immediately if few machines are
     * silent, otherwise when its lease has certainly expired, so that the release loses no running
     * work.
     */
    boolean mayReleaseSilent(double silentSeconds, double leaseSeconds) {
        boolean areFewSilent =
                silentMachines.size() <= Math.max(1, surveyedCount / FEW_SILENT_DIVISOR);
        boolean isAtMostHalfSilent = silentMachines.size() * 2 <= surveyedCount;
        return areFewSilent
                || isAtMostHalfSilent && silentSeconds > HALF_SILENT_LEASES * leaseSeconds
                || silentSeconds > MOST_SILENT_LEASES * leaseSeconds;
    }

    /**
     * Whether machines may be released that receive no responses and whose work is unconfirmed; not
     * if they are the majority, as the fault is then probably not theirs.
     */
    boolean mayReleaseMachinesWithoutResponses() {
        return unconfirmedWithoutResponsesCount * 2 <= surveyedCount;
    }
}
