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

/** Which machines are released, and which are drained to be released. */
final class ScaleIn {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

    /** For how many leases a machine may report without hearing answers before it is released. */
    private static final double DEAF_LEASES = 3;

    /** Tasks are moved only if they would run for more than this many report intervals. */
    private static final double MOVE_REPORT_INTERVALS = 2;

    /** By how much the machine has to cost more than repeating the work that moving loses. */
    private static final double MOVE_COST_FACTOR = 2;

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
     * Decides which machines to release, by id, and marks them; marks those to drain as well.
     *
     * @param reserved machines kept for work that may come
     * @param regularDemand the regular machines that waiting work depends on
     * @param spareCpus those of the CPUs that are up or booting that no guarantee needs
     */
    List<String> machinesToRelease(
            double now,
            Set<Machine> reserved,
            RegularMachineDemand regularDemand,
            double spareCpus) {
        SilenceSurvey survey =
                SilenceSurvey.of(
                        shard, machineLiveness, machine -> isDeafForLong(machine, now), now);
        List<String> released = new ArrayList<>();
        double spare = spareCpus;
        for (Machine machine : shard.machines().values()) {
            // A machine is surplus only if its type is known.
            Optional<MachineType> surplus =
                    reserved.contains(machine) ? Optional.empty() : surplus(machine, spare, now);
            markNeededOrDraining(machine, surplus, regularDemand, now);
            boolean release = machine.isReleasing() || shouldRelease(machine, surplus, survey, now);
            if (surplus.isPresent() && (release || machine.isDraining())) {
                spare -= surplus.get().cpus();
            }
            if (release) {
                if (!machine.isReleasing()) {
                    LOG.info(
                            "releasing machine={} reason={}",
                            machine.id,
                            releaseReason(machine, survey));
                }
                machine.release();
                released.add(machine.id);
            }
        }
        return released;
    }

    /** The machine's type if its CPUs are spare. */
    private Optional<MachineType> surplus(Machine machine, double spareCpus, double now) {
        return machineLiveness
                .typeOf(machine)
                .filter(
                        type ->
                                !machineLiveness.isLate(machine, now)
                                        && spareCpus >= type.cpus()
                                        && machine.reservedFor() == null);
    }

    /**
     * Notes whether the machine has work that may not use spot machines, and drains surplus regular
     * machines that only have work which cheaper spot machines could do.
     */
    private void markNeededOrDraining(
            Machine machine,
            Optional<MachineType> surplus,
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
                        && !regularDemand.needs(machine)
                        && surplus.filter(
                                        type -> instanceSelection.isCheaperSpotAvailable(type, now))
                                .isPresent());
    }

    private boolean shouldRelease(
            Machine machine, Optional<MachineType> surplus, SilenceSurvey survey, double now) {
        if (survey.isSilent(machine)) {
            return survey.mayReleaseSilent(
                    machineLiveness.silentSeconds(machine, now), settings.workers().leaseSeconds());
        }
        if (hasFailedToBoot(machine, now)) {
            instanceSelection.recordRefusal(machine.kind(), now); // Others are tried first.
            return true;
        }
        if (machine.isTokenConfirmed() && !machine.isBusy() && !machine.hasUncommittedEnds()) {
            return machine.isQuarantined()
                    || isDeafForLong(machine, now)
                    || surplus.filter(type -> isIdleForLong(machine, type, now)).isPresent();
        }
        // What an earlier leader left on such a machine can't be proven over by a report.
        return !machine.isTokenConfirmed()
                && isDeafForLong(machine, now)
                && survey.mayReleaseDeaf();
    }

    private boolean hasFailedToBoot(Machine machine, double now) {
        return machineLiveness.typeOf(machine).isPresent()
                && machineLiveness.mayBeOverdue(machine, now)
                && shard.bootTimes().isBootTimedOut(machine, now);
    }

    private boolean isDeafForLong(Machine machine, double now) {
        return machine.missingResponsesSeconds(now)
                > DEAF_LEASES * settings.workers().leaseSeconds();
    }

    /** An idle machine is worth keeping about as long as a new one would take to boot. */
    private static boolean isIdleForLong(Machine machine, MachineType type, double now) {
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
     * Stops the tasks on draining machines that may go on elsewhere. Guards against regular
     * machines kept rented for minutes by a few small tasks that could run on spot machines: where
     * those have room, the tasks are moved there, if what they lose costs less than the machine
     * until they end, and they can start anew and still meet all their goals.
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
                        > MOVE_REPORT_INTERVALS * settings.workers().heartbeatIntervalSeconds()
                && remainingSeconds * type.pricePerHour()
                        > MOVE_COST_FACTOR * lostCpuSeconds * type.spotPricePerHour() / type.cpus();
    }
}
