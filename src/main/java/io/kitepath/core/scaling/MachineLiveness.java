package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;

/** Which machines are there, or on their way in good time, as far as the holder can tell by now. */
final class MachineLiveness {
    private final ClusterSettings settings;
    private final ShardState shard;

    /** Silence is counted from then at the earliest. */
    private double silenceSince;

    MachineLiveness(ShardState shard) {
        this.settings = shard.settings();
        this.shard = shard;
    }

    void silenceSince(double leadingSince) {
        silenceSince = leadingSince;
    }

    double silenceSince() {
        return silenceSince;
    }

    /** Up or coming, and not on its way out. */
    static boolean isUsable(Machine machine) {
        return !machine.isReleasing()
                && !machine.isGone()
                && !machine.isQuarantined()
                && !machine.isMissingAnswers()
                && !machine.hasInterruptionNotice();
    }

    /**
     * Guards against a new holder that knows a machine's age from the list but has not given its
     * worker the time to report yet: it would give back machines full of running tasks, or rent for
     * work that they have room for.
     */
    boolean mayBeOverdue(Machine machine, double now) {
        return !machine.hasReported()
                && machine.attempts().isEmpty()
                && now - silenceSince > silenceSeconds();
    }

    boolean isLate(Machine machine, double now) {
        return mayBeOverdue(machine, now) && shard.bootTimes().isLate(machine, now);
    }

    /**
     * How long a worker that is up may take to report: its lease, or a few reports and a change of
     * nodes.
     */
    double silenceSeconds() {
        return Math.min(
                settings.workers().leaseSeconds(),
                5 * settings.workers().heartbeatIntervalSeconds() + 4);
    }
}
