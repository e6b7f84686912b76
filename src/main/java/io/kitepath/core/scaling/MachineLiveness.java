package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.Optional;

/**
 * Determines which machines are up, or booting and not overdue, as far as the leader knows. Times
 * are seconds on the steady clock.
 */
final class MachineLiveness {
    /** Number of heartbeats that a worker which is up may miss. */
    private static final double MAX_MISSED_HEARTBEATS = 5;

    /** Additional time in which heartbeats may be missing while the leader changes. */
    private static final double MAX_LEADER_CHANGE_SECONDS = 4;

    private final ClusterSettings settings;
    private final ShardState shard;

    private double leadingSinceSeconds;

    MachineLiveness(ShardState shard) {
        this.settings = shard.settings();
        this.shard = shard;
    }

    /**
     * Sets since when this node is the leader; a machine's silence is counted from then at the
     * earliest.
     */
    void setLeadingSince(double leadingSinceSeconds) {
        this.leadingSinceSeconds = leadingSinceSeconds;
    }

    /** Returns the machine's type, if it is known. */
    Optional<MachineType> typeOf(Machine machine) {
        return Optional.ofNullable(machine.resolveType(shard.machineTypes()));
    }

    /**
     * Whether the machine counts as capacity: it is up or booting in time, and not to be released.
     */
    boolean countsAsCapacity(Machine machine, double now) {
        return !machine.isReleasing()
                && !machine.isGone()
                && !machine.isQuarantined()
                && !machine.isMissingResponses()
                && !machine.hasInterruptionNotice()
                && !isBootOverdue(machine, now);
    }

    /**
     * Whether the worker should have sent a heartbeat by now if the machine were up. Guards against
     * a new leader that knows a machine's age from the cloud's list but has not given its worker
     * time for a heartbeat yet: it would release machines with running tasks, or rent machines for
     * tasks for which those have free capacity.
     */
    boolean isFirstHeartbeatOverdue(Machine machine, double now) {
        return !machine.hasReported()
                && machine.attempts().isEmpty()
                && now - leadingSinceSeconds > maxSilenceSeconds();
    }

    /** Whether the machine takes much longer to boot than similar machines. */
    boolean isBootOverdue(Machine machine, double now) {
        return isFirstHeartbeatOverdue(machine, now) && shard.bootTimes().isBootLate(machine, now);
    }

    /**
     * Returns the seconds since the machine's last heartbeat, or since this node became leader if
     * that is later.
     */
    double silentSeconds(Machine machine, double now) {
        return now
                - (machine.hasReported()
                        ? Math.max(machine.lastHeartbeatAt(), leadingSinceSeconds)
                        : leadingSinceSeconds);
    }

    /** Whether the machine's last heartbeat is longer ago than a worker that is up may take. */
    boolean isSilent(Machine machine, double now) {
        return silentSeconds(machine, now) > maxSilenceSeconds();
    }

    /**
     * Returns how long a worker that is up may send no heartbeat: its lease, or a few heartbeat
     * intervals and a leader change if that is shorter.
     */
    private double maxSilenceSeconds() {
        return Math.min(
                settings.workers().leaseSeconds(),
                MAX_MISSED_HEARTBEATS * settings.workers().heartbeatIntervalSeconds()
                        + MAX_LEADER_CHANGE_SECONDS);
    }
}
