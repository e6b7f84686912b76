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

    private final ClusterSettings facts;
    private final ShardState block;
    private final InstanceSelection market;
    private final MachineLiveness presence;

    ScaleIn(ShardState block, InstanceSelection market, MachineLiveness presence) {
        this.facts = block.facts();
        this.block = block;
        this.market = market;
        this.presence = presence;
    }

    /**
     * The machines to give back, by name.
     *
     * @param spareCpus of the CPUs that are up or coming, those that no guarantee needs
     * @param kept machines in reserve
     */
    List<String> returns(double now, Set<Machine> kept, double spareCpus) {
        double lease = facts.workers().leaseS();
        double silence = presence.silenceS();
        int up = 0;
        int silent = 0;
        int unheard = 0;
        Set<Machine> mute = new HashSet<>();
        for (Machine m : block.machines().values()) {
            if (m.reported() || !m.attempts().isEmpty()) {
                up++;
                double since =
                        m.reported()
                                ? Math.max(m.lastReport(), presence.since())
                                : presence.since();
                if (now - since > silence) {
                    silent++;
                    mute.add(m);
                }
                unheard += deafForLong(m, now) && !m.proven() ? 1 : 0;
            }
        }
        // Guards against a holder that is cut off from workers itself: if several fall silent
        // together, the fault is
        // hardly theirs, and they may be on their way to another node. Once their leases have run
        // out for certain,
        // nothing is lost by giving them back, unless it is nearly all of them.
        boolean few = silent <= Math.max(1, up / 8);
        boolean some = silent * 2 <= up;
        List<String> out = new ArrayList<>();
        double spare = spareCpus;
        for (Machine m : block.machines().values()) {
            MachineType t = m.type() == null ? null : block.types().get(m.type());
            boolean give = m.releasing();
            boolean surplus =
                    t != null
                            && !presence.late(m, now)
                            && spare >= t.cpus()
                            && !kept.contains(m)
                            && m.reservedFor() == null;
            if (!m.spot() && m.attempts().stream().anyMatch(a -> !a.job.spec.spot())) {
                m.needed(now);
            }
            m.drain(
                    surplus
                            && m.proven()
                            && !m.spot()
                            && m.neededAt() < now
                            && market.cheaperToBeHad(t, now));
            if (mute.contains(m)) {
                double quiet =
                        now
                                - Math.max(
                                        presence.since(),
                                        m.reported() ? m.lastReport() : presence.since());
                give |= few || some && quiet > 1.5 * lease || quiet > 3 * lease;
            } else if (t != null
                    && presence.mayBeOverdue(m, now)
                    && block.boots().hopeless(m, now)) {
                give = true;
                if (!m.releasing()) {
                    market.refused(m.kind(), now); // Where boots fail, others come first.
                }
            } else if (m.proven() && !m.busy() && !m.awaitsRecords()) {
                give |= m.setAside() || deafForLong(m, now);
                give |=
                        surplus
                                && now - m.neededAt() > t.bootS()
                                && (m.draining() || idleTooLong(m, t, now));
            } else if (!m.proven() && deafForLong(m, now)) {
                // What an earlier holder left on it can't be proven over by a report. Not if it is
                // most of them: then it
                // is hardly they who hear nothing.
                give |= unheard * 2 <= up;
            }
            if (surplus && (give || m.draining())) {
                spare -= t.cpus();
            }
            if (give) {
                if (!m.releasing()) {
                    LOG.info(
                            "giving back {}: {}",
                            m.id,
                            mute.contains(m)
                                    ? "silent"
                                    : m.setAside()
                                            ? "set aside"
                                            : m.deafToAnswers()
                                                    ? "no answer reaches it"
                                                    : m.reported() ? "idle" : "never came up");
                }
                m.release();
                out.add(m.id);
            }
        }
        return out;
    }

    private boolean deafForLong(Machine m, double now) {
        return m.deafS(now) > DEAF_LEASES * facts.workers().leaseS();
    }

    /**
     * Guards against ordinary machines kept rented for minutes by a few small tasks that could run
     * on spot ones: where those have room, the tasks are moved there, if what they lose costs less
     * than the machine until they end, and they can begin anew and still be in time for all that is
     * expected.
     */
    void clear(double now, double wallMs) {
        double room = 0;
        for (Machine m : block.machines().values()) {
            MachineType t = block.types().get(m.type());
            if (m.spot() && m.open() && t != null) {
                room += t.cpus() - m.usedCpus();
            }
        }
        for (Machine m : block.machines().values()) {
            MachineType t = block.types().get(m.type());
            if (!m.draining()
                    || m.releasing()
                    || m.attempts().isEmpty()
                    || now - m.neededAt() <= t.bootS()
                    || m.usedCpus() > room
                    || !worthMoving(m, t, now, wallMs)) {
                continue;
            }
            room -= m.usedCpus();
            LOG.debug("clearing {} of {} tasks", m.id, m.attempts().size());
            for (Attempt a : new ArrayList<>(m.attempts())) {
                block.stop(a, a.job.spec.stopGraceS());
            }
        }
    }

    private boolean worthMoving(Machine m, MachineType t, double now, double wallMs) {
        double rest = 0;
        double lost = 0;
        for (Attempt a : m.attempts()) {
            if (a.unwanted()
                    || !a.seen()
                    || a.job.spec.shape() != JobSpec.Shape.ARRAY
                    || a.job.goalMs(0) < wallMs) {
                return false;
            }
            rest = Math.max(rest, a.remainingS(now));
            lost += a.job.spec.cpus() * a.unsavedS(now);
        }
        return rest > 2 * facts.workers().reportS()
                && rest * t.price() > 2 * lost * t.spotPrice() / t.cpus();
    }

    private boolean idleTooLong(Machine m, MachineType t, double now) {
        // Worth keeping about as long as a new one would take to come.
        return now - m.idleSince() > t.bootS();
    }
}
