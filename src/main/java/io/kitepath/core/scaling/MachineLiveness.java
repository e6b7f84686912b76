package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;

/** Which machines are there, or on their way in good time, as far as the holder can tell by now. */
final class MachineLiveness {
    private final ClusterSettings facts;
    private final ShardState block;

    /** Silence is counted from then at the earliest. */
    private double since;

    MachineLiveness(ShardState block) {
        this.facts = block.facts();
        this.block = block;
    }

    void since(double leadingSince) {
        since = leadingSince;
    }

    double since() {
        return since;
    }

    /** Up or coming, and not on its way out. */
    static boolean usable(Machine m) {
        return !m.releasing() && !m.gone() && !m.setAside() && !m.deafToAnswers() && !m.recalled();
    }

    /**
     * Guards against a new holder that knows a machine's age from the list but has not given its
     * worker the time to report yet: it would give back machines full of running tasks, or rent for
     * work that they have room for.
     */
    boolean mayBeOverdue(Machine m, double now) {
        return !m.reported() && m.attempts().isEmpty() && now - since > silenceS();
    }

    boolean late(Machine m, double now) {
        return mayBeOverdue(m, now) && block.boots().late(m, now);
    }

    /**
     * How long a worker that is up may take to report: its lease, or a few reports and a change of
     * nodes.
     */
    double silenceS() {
        return Math.min(facts.workers().leaseS(), 5 * facts.workers().reportS() + 4);
    }
}
