package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides which machines are released, and which are drained before their release. */
final class ScaleIn {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

    /**
     * Worker leases for which a machine may send heartbeats without receiving responses before it
     * is released.
     */
    private static final double MAX_LEASES_WITHOUT_RESPONSES = 3;

    /** Tasks are moved only if they would run for more than this many heartbeat intervals. */
    private static final double MIN_MOVE_HEARTBEAT_INTERVALS = 2;

    /**
     * Minimum ratio of the machine's cost to the cost of repeating the work that is lost by the
     * move.
     */
    private static final double MIN_MOVE_COST_RATIO = 2;

    private final ClusterSettings settings;
    private final ShardState shard;
    private final InstanceSelection instanceSelection;
    private final MachineLiveness machineLiveness;

    ScaleIn(
            ShardState shard,
            InstanceSelection instanceSelection,
            MachineLiveness machineLiveness) {
        this.settings = shard.settings();
        this.shard = shard;
        this.instanceSelection = instanceSelection;
        this.machineLiveness = machineLiveness;
    }

    /**
     * Decides which machines to release and marks them; also marks those to drain.
     *
     * @param reserved machines that are kept for expected jobs
     * @param regularDemand the regular machines that waiting jobs depend on
     * @param spareCpus CPUs that are up or booting beyond those guaranteed to teams
     * @return the ids of the machines to release
     */
    List<String> machinesToRelease(
            double now,
            Set<Machine> reserved,
            RegularMachineDemand regularDemand,
            double spareCpus) {
        SilenceSurvey survey =
                SilenceSurvey.of(
                        shard,
                        machineLiveness,
                        machine -> isWithoutResponsesForLong(machine, now),
                        now);
        List<String> idsToRelease = new ArrayList<>();
        double remainingSpareCpus = spareCpus;
        for (Machine machine : shard.machines().values()) {
            // A machine can be surplus only if its type is known.
            Optional<MachineType> surplusType =
                    reserved.contains(machine)
                            ? Optional.empty()
                            : surplusType(machine, remainingSpareCpus, now);
            markNeededOrDraining(machine, surplusType, regularDemand, now);
            boolean mustRelease =
                    machine.isReleasing() || shouldRelease(machine, surplusType, survey, now);
            if (surplusType.isPresent() && (mustRelease || machine.isDraining())) {
                remainingSpareCpus -= surplusType.get().cpus();
            }
            if (mustRelease) {
                if (!machine.isReleasing()) {
                    LOG.info(
                            "releasing machine: machine={} reason={}",
                            machine.id,
                            releaseReason(machine, survey));
                }
                machine.release();
                idsToRelease.add(machine.id);
            }
        }
        return idsToRelease;
    }

    /** Returns the machine's type if its CPUs are spare. */
    private Optional<MachineType> surplusType(Machine machine, double spareCpus, double now) {
        return machineLiveness
                .typeOf(machine)
                .filter(
                        type ->
                                !machineLiveness.isBootOverdue(machine, now)
                                        && spareCpus >= type.cpus()
                                        && machine.reservedFor() == null);
    }

    /**
     * Marks a regular machine as needed if it has tasks that may not use spot machines, and drains
     * a surplus regular machine all of whose tasks could run on cheaper spot machines.
     */
    private void markNeededOrDraining(
            Machine machine,
            Optional<MachineType> surplusType,
            RegularMachineDemand regularDemand,
            double now) {
        if (!machine.isSpot()
                && machine.attempts().stream()
                        .anyMatch(attempt -> !attempt.job.spec.allowsSpot())) {
            machine.markNeeded(now);
        }
        machine.setDraining(
                machine.isTokenConfirmed()
                        && !machine.isSpot()
                        && machine.lastNeededAt() < now
                        && !regularDemand.isNeeded(machine)
                        && surplusType
                                .filter(type -> instanceSelection.isCheaperSpotAvailable(type, now))
                                .isPresent());
    }

    private boolean shouldRelease(
            Machine machine, Optional<MachineType> surplusType, SilenceSurvey survey, double now) {
        if (survey.isSilent(machine)) {
            return survey.mayReleaseSilent(
                    machineLiveness.silentSeconds(machine, now), settings.workers().leaseSeconds());
        }
        if (hasFailedToBoot(machine, now)) {
            instanceSelection.recordRefusal(machine.kind(), now); // Prefers other kinds next.
            return true;
        }
        if (machine.isTokenConfirmed() && !machine.isBusy() && !machine.hasUncommittedEnds()) {
            return machine.isQuarantined()
                    || isWithoutResponsesForLong(machine, now)
                    || surplusType.filter(type -> isUnusedForLong(machine, type, now)).isPresent();
        }
        // Heartbeats from such a machine cannot confirm that attempts of an earlier leader ended.
        return !machine.isTokenConfirmed()
                && isWithoutResponsesForLong(machine, now)
                && survey.mayReleaseMachinesWithoutResponses();
    }

    private boolean hasFailedToBoot(Machine machine, double now) {
        return machineLiveness.typeOf(machine).isPresent()
                && machineLiveness.isFirstHeartbeatOverdue(machine, now)
                && shard.bootTimes().isBootTimedOut(machine, now);
    }

    private boolean isWithoutResponsesForLong(Machine machine, double now) {
        return machine.missingResponsesSeconds(now)
                > MAX_LEASES_WITHOUT_RESPONSES * settings.workers().leaseSeconds();
    }

    /**
     * Whether the machine has been unused for longer than a new one would take to boot; up to then
     * an idle machine is worth keeping.
     */
    private static boolean isUnusedForLong(Machine machine, MachineType type, double now) {
        return now - machine.lastNeededAt() > type.bootSeconds()
                && (machine.isDraining() || now - machine.idleSince() > type.bootSeconds());
    }

    private static String releaseReason(Machine machine, SilenceSurvey survey) {
        if (survey.isSilent(machine)) {
            return "silent";
        }
        if (machine.isQuarantined()) {
            return "quarantined";
        }
        if (machine.isMissingResponses()) {
            return "answers-not-received";
        }
        return machine.hasReported() ? "idle" : "boot-failed";
    }

    /**
     * Stops tasks on draining machines so that they continue on spot machines. Guards against
     * regular machines that stay rented for minutes because of a few small tasks that could run on
     * spot machines. Tasks are moved only if spot machines have enough free CPUs, if repeating the
     * lost work costs less than the machine until the tasks end, and if the tasks can restart and
     * still meet all their start goals.
     */
    void moveTasksToSpot(double now, double wallMillis) {
        double freeSpotCpus = freeSpotCpus();
        for (Machine machine : shard.machines().values()) {
            MachineType type = shard.machineTypes().get(machine.type());
            if (!machine.isDraining()
                    || machine.isReleasing()
                    || machine.attempts().isEmpty()
                    || now - machine.lastNeededAt() <= type.bootSeconds()
                    || machine.usedCpus() > freeSpotCpus
                    || !isWorthMoving(machine, type, now, wallMillis)) {
                continue;
            }
            freeSpotCpus -= machine.usedCpus();
            LOG.debug(
                    "moving tasks to spot machines: machine={} tasks={}",
                    machine.id,
                    machine.attempts().size());
            for (Attempt attempt : new ArrayList<>(machine.attempts())) {
                shard.stopAttempt(attempt, attempt.job.spec.stopGraceSeconds());
            }
        }
    }

    private double freeSpotCpus() {
        double cpus = 0;
        for (Machine machine : shard.machines().values()) {
            MachineType type = shard.machineTypes().get(machine.type());
            if (machine.isSpot() && machine.isSchedulable() && type != null) {
                cpus += type.cpus() - machine.usedCpus();
            }
        }
        return cpus;
    }

    private boolean isWorthMoving(
            Machine machine, MachineType type, double now, double wallMillis) {
        double remainingSeconds = 0;
        double lostCpuSeconds = 0;
        for (Attempt attempt : machine.attempts()) {
            if (attempt.isUnwanted()
                    || !attempt.isSeen()
                    || attempt.job.spec.shape() != JobSpec.Shape.ARRAY
                    || attempt.job.startGoalMillis(0) < wallMillis) {
                return false;
            }
            remainingSeconds = Math.max(remainingSeconds, attempt.remainingSeconds(now));
            lostCpuSeconds += attempt.job.spec.cpusPerTask() * attempt.unsavedSeconds(now);
        }
        return remainingSeconds
                        > MIN_MOVE_HEARTBEAT_INTERVALS
                                * settings.workers().heartbeatIntervalSeconds()
                && remainingSeconds * type.pricePerHour()
                        > MIN_MOVE_COST_RATIO
                                * lostCpuSeconds
                                * type.spotPricePerHour()
                                / type.cpus();
    }
}
