package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.Optional;

/**
 * Which machines are up, or booting and not overdue, as far as the leader can tell. Times are
 * seconds on the steady clock.
 */
final class MachineLiveness {
    /** Report intervals that a worker which is up may miss. */
    private static final double MISSED_REPORTS = 5;

    /** How long its reports may go missing in addition while the leader changes. */
    private static final double LEADER_CHANGE_SECONDS = 4;

    private final ClusterSettings settings;
    private final ShardState shard;

    private double silenceSince;

    MachineLiveness(ShardState shard) {
        this.settings = shard.settings();
        this.shard = shard;
    }

    /** Silence is counted from then at the earliest: since when this node leads. */
    void countSilenceSince(double leadingSince) {
        silenceSince = leadingSince;
    }

    /** The machine's type, if it is known. */
    Optional<MachineType> typeOf(Machine machine) {
        return Optional.ofNullable(machine.resolveType(shard.machineTypes()));
    }

    /** Whether the machine counts as capacity: up or booting in time, and not to be released. */
    boolean isCapacity(Machine machine, double now) {
        return !machine.isReleasing()
                && !machine.isGone()
                && !machine.isQuarantined()
                && !machine.isMissingResponses()
                && !machine.hasInterruptionNotice()
                && !isLate(machine, now);
    }

    /**
     * Whether the worker should have reported by now if the machine were up. Guards against a new
     * leader that knows a machine's age from the cloud's list but has not given its worker the time
     * to report yet: it would release machines full of running tasks, or rent for work that they
     * have room for.
     */
    boolean mayBeOverdue(Machine machine, double now) {
        return !machine.hasReported()
                && machine.attempts().isEmpty()
                && now - silenceSince > silenceSeconds();
    }

    /** Whether the machine takes much longer to boot than machines like it do. */
    boolean isLate(Machine machine, double now) {
        return mayBeOverdue(machine, now) && shard.bootTimes().isBootLate(machine, now);
    }

    /** Seconds since its last report, or since this node leads if that is later. */
    double silentSeconds(Machine machine, double now) {
        return now
                - (machine.hasReported()
                        ? Math.max(machine.lastHeartbeatAt(), silenceSince)
                        : silenceSince);
    }

    /** Whether a machine that was up has not reported for too long. */
    boolean isSilent(Machine machine, double now) {
        return silentSeconds(machine, now) > silenceSeconds();
    }

    /**
     * How long a worker that is up may take to report: its lease, or a few reports and a change of
     * the leader.
     */
    private double silenceSeconds() {
        return Math.min(
                settings.workers().leaseSeconds(),
                MISSED_REPORTS * settings.workers().heartbeatIntervalSeconds()
                        + LEADER_CHANGE_SECONDS);
    }
}
