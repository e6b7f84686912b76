package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Which machines are given back, and which are emptied to be given back. */
final class ScaleIn {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

    /** For how long a machine may report without hearing answers before it is given back. */
    private static final double DEAF_LEASES = 3;

    private final ClusterSettings settings;
    private final ShardState shard;
    private final InstanceSelection instanceSelection;
    private final MachineLiveness machineLiveness;

    ScaleIn(ShardState shard, InstanceSelection market, MachineLiveness presence) {
        this.settings = shard.settings();
        this.shard = shard;
        this.instanceSelection = market;
        this.machineLiveness = presence;
    }

    /**
     * The machines to give back, by name.
     *
     * @param spareCpus of the CPUs that are up or coming, those that no guarantee needs
     * @param kept machines in reserve
     */
    List<String> machinesToRelease(double now, Set<Machine> kept, double spareCpus) {
        double lease = settings.workers().leaseSeconds();
        double silence = machineLiveness.silenceSeconds();
        int up = 0;
        int silent = 0;
        int unheard = 0;
        Set<Machine> mute = new HashSet<>();
        for (Machine machine : shard.machines().values()) {
            if (machine.hasReported() || !machine.attempts().isEmpty()) {
                up++;
                double since =
                        machine.hasReported()
                                ? Math.max(
                                        machine.lastHeartbeatAt(), machineLiveness.silenceSince())
                                : machineLiveness.silenceSince();
                if (now - since > silence) {
                    silent++;
                    mute.add(machine);
                }
                unheard += isDeafForLong(machine, now) && !machine.isTokenConfirmed() ? 1 : 0;
            }
        }
        // Guards against a holder that is cut off from workers itself: if several fall silent
        // together, the fault is hardly theirs, and they may be on their way to another node. Once
        // their leases have run out for certain, nothing is lost by giving them back, unless it is
        // nearly all of them.
        boolean few = silent <= Math.max(1, up / 8);
        boolean some = silent * 2 <= up;
        List<String> out = new ArrayList<>();
        double spare = spareCpus;
        for (Machine machine : shard.machines().values()) {
            MachineType type =
                    machine.type() == null ? null : shard.machineTypes().get(machine.type());
            boolean give = machine.isReleasing();
            boolean surplus =
                    type != null
                            && !machineLiveness.isLate(machine, now)
                            && spare >= type.cpus()
                            && !kept.contains(machine)
                            && machine.reservedFor() == null;
            if (!machine.isSpot()
                    && machine.attempts().stream()
                            .anyMatch(attempt -> !attempt.job.spec.allowsSpot())) {
                machine.markNeeded(now);
            }
            machine.setDraining(
                    surplus
                            && machine.isTokenConfirmed()
                            && !machine.isSpot()
                            && machine.lastNeededAt() < now
                            && instanceSelection.isCheaperSpotAvailable(type, now));
            if (mute.contains(machine)) {
                double quiet =
                        now
                                - Math.max(
                                        machineLiveness.silenceSince(),
                                        machine.hasReported()
                                                ? machine.lastHeartbeatAt()
                                                : machineLiveness.silenceSince());
                give |= few || some && quiet > 1.5 * lease || quiet > 3 * lease;
            } else if (type != null
                    && machineLiveness.mayBeOverdue(machine, now)
                    && shard.bootTimes().isHopeless(machine, now)) {
                give = true;
                if (!machine.isReleasing()) {
                    instanceSelection.refused(
                            machine.kind(), now); // Where boots fail, others come first.
                }
            } else if (machine.isTokenConfirmed()
                    && !machine.isBusy()
                    && !machine.hasUnwrittenEnds()) {
                give |= machine.isQuarantined() || isDeafForLong(machine, now);
                give |=
                        surplus
                                && now - machine.lastNeededAt() > type.bootSeconds()
                                && (machine.isDraining() || isIdleTooLong(machine, type, now));
            } else if (!machine.isTokenConfirmed() && isDeafForLong(machine, now)) {
                // What an earlier holder left on it can't be proven over by a report. Not if it is
                // most of them: then it is hardly they who hear nothing.
                give |= unheard * 2 <= up;
            }
            if (surplus && (give || machine.isDraining())) {
                spare -= type.cpus();
            }
            if (give) {
                if (!machine.isReleasing()) {
                    LOG.info(
                            "giving back {}: {}",
                            machine.id,
                            mute.contains(machine)
                                    ? "silent"
                                    : machine.isQuarantined()
                                            ? "set aside"
                                            : machine.isMissingAnswers()
                                                    ? "no answer reaches it"
                                                    : machine.hasReported()
                                                            ? "idle"
                                                            : "never came up");
                }
                machine.release();
                out.add(machine.id);
            }
        }
        return out;
    }

    private boolean isDeafForLong(Machine machine, double now) {
        return machine.missingAnswersSeconds(now) > DEAF_LEASES * settings.workers().leaseSeconds();
    }

    /**
     * Guards against ordinary machines kept rented for minutes by a few small tasks that could run
     * on spot ones: where those have room, the tasks are moved there, if what they lose costs less
     * than the machine until they end, and they can begin anew and still be in time for all that is
     * expected.
     */
    void moveTasksToSpot(double now, double wallMs) {
        double room = 0;
        for (Machine machine : shard.machines().values()) {
            MachineType type = shard.machineTypes().get(machine.type());
            if (machine.isSpot() && machine.isSchedulable() && type != null) {
                room += type.cpus() - machine.usedCpus();
            }
        }
        for (Machine machine : shard.machines().values()) {
            MachineType type = shard.machineTypes().get(machine.type());
            if (!machine.isDraining()
                    || machine.isReleasing()
                    || machine.attempts().isEmpty()
                    || now - machine.lastNeededAt() <= type.bootSeconds()
                    || machine.usedCpus() > room
                    || !isWorthMoving(machine, type, now, wallMs)) {
                continue;
            }
            room -= machine.usedCpus();
            LOG.debug("clearing {} of {} tasks", machine.id, machine.attempts().size());
            for (Attempt attempt : new ArrayList<>(machine.attempts())) {
                shard.stopAttempt(attempt, attempt.job.spec.stopGraceSeconds());
            }
        }
    }

    private boolean isWorthMoving(Machine machine, MachineType type, double now, double wallMs) {
        double rest = 0;
        double lost = 0;
        for (Attempt attempt : machine.attempts()) {
            if (attempt.isUnwanted()
                    || !attempt.isSeen()
                    || attempt.job.spec.shape() != JobSpec.Shape.ARRAY
                    || attempt.job.startGoalMillis(0) < wallMs) {
                return false;
            }
            rest = Math.max(rest, attempt.remainingSeconds(now));
            lost += attempt.job.spec.cpusPerTask() * attempt.unsavedSeconds(now);
        }
        return rest > 2 * settings.workers().heartbeatIntervalSeconds()
                && rest * type.pricePerHour() > 2 * lost * type.spotPricePerHour() / type.cpus();
    }

    private boolean isIdleTooLong(Machine machine, MachineType type, double now) {
        // Worth keeping about as long as a new one would take to come.
        return now - machine.idleSince() > type.bootSeconds();
    }
}
