package io.kitepath.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** How many machines are wanted: what to rent for the work that waits, and what to give back. */
final class Fleet {
    /** One kind of machine to rent. */
    record Kind(String type, String zone, boolean spot) {}

    record Plan(Map<Kind, Integer> rent, List<String> release) {}

    /** The room that a machine has, or will have once it is up. */
    private static final class Room {
        final MachineType type;
        final Kind kind;
        double cpus;
        double gpus;
        double memory;

        Room(MachineType type, Kind kind) {
            this.type = type;
            this.kind = kind;
            this.cpus = type.cpus();
            this.gpus = type.gpus();
            this.memory = type.memoryGb();
        }

        boolean take(JobSpec s) {
            if (s.cpus() > cpus + 1e-6 || s.gpus() > gpus + 1e-6 || s.memoryGb() > memory + 1e-6) {
                return false;
            }
            cpus -= s.cpus();
            gpus -= s.gpus();
            memory -= s.memoryGb();
            return true;
        }
    }

    private final Facts facts;
    private final Scheduler scheduler;
    /** Kinds that were refused for want of capacity, until when not to ask, and how often in a row. */
    private final Map<Kind, double[]> refused = new HashMap<>();

    Fleet(Facts facts, Scheduler scheduler) {
        this.facts = facts;
        this.scheduler = scheduler;
    }

    void refused(Kind k, double now) {
        double[] r = refused.computeIfAbsent(k, x -> new double[2]);
        r[1] = Math.min(4, r[1] + 1);
        r[0] = now + facts.cloud().listLagS() * (1 << (int) r[1]) / 2;
    }

    void granted(Kind k) {
        refused.remove(k);
    }

    /** {@code leadingSince}: silence is counted from then at the earliest. */
    Plan plan(double now, double wallMs, double leadingSince) {
        List<String> release = returns(now, leadingSince);
        Map<Kind, Integer> rent = new LinkedHashMap<>();
        List<Room> rooms = new ArrayList<>();
        for (Machine m : scheduler.machines.values()) {
            MachineType t = m.type == null ? null : scheduler.types.get(m.type);
            if (t != null && !m.proven && !m.releasing && !m.gone && !overdue(m, t, now)) {
                rooms.add(new Room(t, new Kind(m.type, m.zone, m.spot)));
            }
        }
        for (Job job : scheduler.queue(wallMs)) {
            want(job, rooms, rent, now, wallMs);
        }
        return new Plan(rent, release);
    }

    private void want(Job job, List<Room> rooms, Map<Kind, Integer> rent, double now, double wallMs) {
        JobSpec s = job.spec;
        int waiting = Math.min(job.waiting(), scheduler.quotaLeft(s));
        if (s.gang()) {
            waiting = waiting == s.tasks() ? waiting : 0;
        } else if (s.shape() == JobSpec.Shape.ARRAY) {
            // Not a place for every task at once: as many as finish the job in good time, one after the other.
            double aim = facts.finishWithinS(s.jobClass(), 10 * facts.workers().leaseS()) / 2.5;
            if (s.deadlineS() != null) {
                aim = s.deadlineS() - (wallMs - job.submittedMs) / 1000;
            }
            double each = Math.max(1, s.estimateS());
            double atOnce = Math.ceil((job.waiting() + job.live.size()) * each / Math.max(each, aim));
            waiting = (int) Math.max(0, Math.min(waiting, atOnce - job.live.size()));
        }
        if (waiting == 0) {
            return;
        }
        String zone = s.zone();
        if (zone == null && s.oneZone()) {
            zone = bestZone(s, rooms, now);
        }
        List<Room> mine = new ArrayList<>();
        for (Room r : rooms) {
            if (allowed(r.kind, s, zone)) {
                mine.add(r);
            }
        }
        for (int i = 0; i < waiting; i++) {
            boolean found = false;
            for (Room r : mine) {
                if (r.take(s)) {
                    found = true;
                    break;
                }
            }
            if (found) {
                continue;
            }
            Kind k = cheapest(s, zone, rent, now);
            if (k == null) {
                return;
            }
            Room r = new Room(scheduler.types.get(k.type), k);
            if (!r.take(s)) {
                return;
            }
            rent.merge(k, 1, Integer::sum);
            rooms.add(r);
            mine.add(r);
        }
    }

    private boolean allowed(Kind k, JobSpec s, String zone) {
        return (s.types() == null || s.types().contains(k.type)) && (zone == null || zone.equals(k.zone))
                && (s.spot() || !k.spot);
    }

    /** For a job that must stay in one zone: where it could use most of what is there or coming. */
    private String bestZone(JobSpec s, List<Room> rooms, double now) {
        Map<String, Double> score = new LinkedHashMap<>();
        for (String z : facts.zones()) {
            if (cheapest(s, z, Map.of(), now) != null) {
                score.put(z, 0.1);
            } else {
                score.put(z, 0.0);
            }
        }
        for (Machine m : scheduler.machines.values()) {
            if (m.open() && scheduler.placement.allowed(m, s)) {
                score.merge(m.zone, (double) Placement.slots(s, scheduler.types.get(m.type)), Double::sum);
            }
        }
        for (Room r : rooms) {
            if (allowed(r.kind, s, null) && r.cpus >= s.cpus()) {
                score.merge(r.kind.zone, 1.0, Double::sum);
            }
        }
        return score.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey).orElse(null);
    }

    private Kind cheapest(JobSpec s, String zone, Map<Kind, Integer> rent, double now) {
        Kind best = null;
        double bestPrice = 0;
        for (MachineType t : scheduler.types.values()) {
            if (Placement.slots(s, t) < 1) {
                continue;
            }
            for (String z : t.zones()) {
                for (int spot = s.spot() ? 1 : 0; spot >= 0; spot--) {
                    Kind k = new Kind(t.name(), z, spot == 1);
                    double[] r = refused.get(k);
                    if (!allowed(k, s, zone) || r != null && now < r[0]) {
                        continue;
                    }
                    // Zones share: the one with the least of this kind.
                    double price = (spot == 1 ? t.spotPrice() : t.price()) / Placement.slots(s, t)
                            * (1 + 1e-4 * (count(k) + rent.getOrDefault(k, 0)));
                    if (best == null || price < bestPrice) {
                        best = k;
                        bestPrice = price;
                    }
                }
            }
        }
        return best;
    }

    private long count(Kind k) {
        return scheduler.machines.values().stream()
                .filter(m -> k.type.equals(m.type) && k.zone.equals(m.zone) && k.spot == m.spot).count();
    }

    /** Machines normally boot within 1.5 times the nominal time; some take several times as long. */
    private static boolean overdue(Machine m, MachineType t, double now) {
        return !m.reported() && now - m.knownSince > 4 * t.bootS();
    }

    // ---- giving back ----------------------------------------------------------------------------

    private List<String> returns(double now, double leadingSince) {
        double lease = facts.workers().leaseS();
        double silence = Math.min(lease, 5 * facts.workers().reportS() + 4);
        int up = 0;
        int silent = 0;
        List<Machine> mute = new ArrayList<>();
        for (Machine m : scheduler.machines.values()) {
            if (m.reported() || !m.attempts.isEmpty()) {
                up++;
                double since = m.reported() ? Math.max(m.lastReport, leadingSince) : leadingSince;
                if (now - since > silence) {
                    silent++;
                    mute.add(m);
                }
            }
        }
        // Guards against a holder that is cut off from the workers itself: if most of them are silent, the fault is
        // hardly theirs.
        boolean trust = silent * 2 <= up;
        List<String> out = new ArrayList<>();
        for (Machine m : scheduler.machines.values()) {
            MachineType t = m.type == null ? null : scheduler.types.get(m.type);
            boolean give = m.releasing;
            if (mute.contains(m)) {
                give |= trust || now - leadingSince > 2 * lease && now - m.lastReport > 3 * lease;
            } else if (t != null && overdue(m, t, now)) {
                give = true;
            } else if (m.proven && !m.busy() && m.attempts.isEmpty()) {
                give |= m.setAside || idleTooLong(m, t, now);
            }
            if (give) {
                if (!m.releasing) {
                    LOG.info("giving back {}: {}", m.id, mute.contains(m) ? "silent" : m.setAside ? "set aside"
                            : m.reported() ? "idle" : "never came up");
                }
                m.releasing = true;
                out.add(m.id);
            }
        }
        return out;
    }

    private static final org.slf4j.Logger LOG = org.slf4j.LoggerFactory.getLogger(Fleet.class);

    private boolean idleTooLong(Machine m, MachineType t, double now) {
        if (t == null || m.reservedFor != null) {
            return false;
        }
        // Worth keeping about as long as a new one would take to come, ordinary ones longer: gangs need them at once.
        double keep = m.spot ? t.bootS() * 0.7 : t.bootS() * 2;
        return now - m.idleSince > keep;
    }
}
