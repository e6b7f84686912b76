package io.kitepath.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** How many machines are wanted: what to rent for the work that waits, and what to give back. */
final class Fleet {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

    /** One kind of machine to rent. */
    record Kind(String type, String zone, boolean spot) {}

    record Plan(Map<Kind, Integer> rent, List<String> release) {}

    /** The room that a machine has, or will have once it is up. */
    private static final class Room {
        final MachineType type;
        final Kind kind;
        final Machine machine;
        /** Of the machine's room, what is left by the time that the plan looks at, and what is left until then. */
        final Space then;
        final Space now;

        Room(MachineType type, Kind kind, Machine machine) {
            this.type = type;
            this.kind = kind;
            this.machine = machine;
            this.then = new Space(type);
            this.now = new Space(type);
        }

        /** Takes in as many of the tasks as fit, at once or by then; returns how many. */
        int take(JobSpec s, int tasks, boolean atOnce) {
            int n = Math.min(tasks, then.slots(s));
            if (atOnce) {
                n = Math.min(n, now.slots(s));
            }
            then.less(s, n);
            now.less(s, n);
            return n;
        }
    }

    private static final class Space {
        double cpus;
        double gpus;
        double memory;

        Space(MachineType t) {
            cpus = t.cpus();
            gpus = t.gpus();
            memory = t.memoryGb();
        }

        int slots(JobSpec s) {
            return Placement.slots(s, cpus, gpus, memory);
        }

        void less(JobSpec s, int tasks) {
            cpus -= tasks * s.cpus();
            gpus -= tasks * s.gpus();
            memory -= tasks * s.memoryGb();
        }
    }

    private final Facts facts;
    private final Scheduler scheduler;
    /** Kinds that were refused for want of capacity, until when not to ask, and how often in a row. */
    private final Map<Kind, double[]> refused = new HashMap<>();
    private double leadingSince;
    /** Worked out once a plan: machines by kind. */
    private final Map<Kind, Integer> counts = new HashMap<>();
    /** CPUs of what is up or coming. */
    private double usableCpus;
    /** CPU seconds of waiting work that may use spot machines. */
    private double spotBacklog;

    Fleet(Facts facts, Scheduler scheduler) {
        this.facts = facts;
        this.scheduler = scheduler;
    }

    void refused(Kind k, double now) {
        double[] r = refused.computeIfAbsent(k, x -> new double[2]);
        r[1] = Math.min(4, r[1] + 1);
        r[0] = now + facts.cloud().listLagS() * (1 << (int) r[1]) / 2;
    }

    private boolean mayBeHad(Kind k, double now) {
        double[] r = refused.get(k);
        return r == null || now >= r[0];
    }

    void granted(Kind k) {
        refused.remove(k);
    }

    /** {@code leadingSince}: silence is counted from then at the earliest. */
    Plan plan(double now, double wallMs, double leadingSince) {
        this.leadingSince = leadingSince;
        survey(now);
        Map<Kind, Integer> rent = new LinkedHashMap<>();
        List<Room> rooms = rooms(now, null);
        List<Job> queue = scheduler.queue(now, wallMs);
        for (Job job : queue) {
            want(job, rooms, rent, now, wallMs);
        }
        Set<Machine> kept = idle() ? Set.of() : reserve(queue, rent, now, wallMs);
        floor(rent, now);
        List<String> release = returns(now, kept);
        clear(now, wallMs);
        return new Plan(rent, release);
    }

    private void survey(double now) {
        counts.clear();
        usableCpus = 0;
        for (Machine m : scheduler.machines.values()) {
            MachineType t = m.type == null ? null : scheduler.types.get(m.type);
            if (t == null) {
                continue;
            }
            counts.merge(new Kind(m.type, m.zone, m.spot), 1, Integer::sum);
            if (usable(m) && !late(m, now)) {
                usableCpus += t.cpus();
            }
        }
        spotBacklog = 0;
        for (Job j : scheduler.jobs.values()) {
            if (j.spec.spot() && !scheduler.failures.mistaken(j, now)) {
                spotBacklog += j.waiting() * j.spec.cpus() * j.spec.estimateS();
            }
        }
    }

    /**
     * The room of all machines that are up or coming: as it will be by the time a new machine could be up, or, for a
     * job that may come at any moment, as it is now with lesser work stopped.
     */
    private List<Room> rooms(double now, JobSpec forNow) {
        List<Room> rooms = new ArrayList<>();
        for (Machine m : scheduler.machines.values()) {
            MachineType t = m.type == null ? null : scheduler.types.get(m.type);
            if (t == null || !usable(m) || late(m, now)) {
                continue;
            }
            Room r = new Room(t, new Kind(m.type, m.zone, m.spot), m);
            for (Attempt a : m.attempts) {
                if (!a.unwanted() && (forNow == null
                        ? a.remainingS(now) > t.bootS()
                        : a.job.spec.gang() || a.job.spec.priority().compareTo(forNow.priority()) <= 0)) {
                    r.then.less(a.job.spec, 1);
                }
                if (!a.unwanted()) {
                    r.now.less(a.job.spec, 1);
                }
            }
            rooms.add(r);
        }
        return rooms;
    }

    /**
     * Classes that are expected to start sooner than a machine boots need room that is there already: enough for
     * all but the largest of the gangs that came lately, by the share that the objective names.
     */
    private Set<Machine> reserve(List<Job> queue, Map<Kind, Integer> rent, double now, double wallMs) {
        Set<Machine> kept = new HashSet<>();
        double boot = scheduler.types.values().stream().mapToDouble(MachineType::bootS).min().orElse(0);
        for (Facts.Objective o : facts.objectives()) {
            boolean wait = o.kind().equals("wait") && o.withinS() < boot
                    && queue.stream().noneMatch(j -> j.spec.jobClass().equals(o.jobClass()));
            JobSpec typical = wait || o.kind().equals("deadline")
                    ? scheduler.typical(o.jobClass(), o.share(), wallMs, boot) : null;
            if (typical == null) {
                continue;
            }
            int atOnce = typical.tasks();
            if (typical.shape() == JobSpec.Shape.ARRAY && typical.deadlineS() != null) {
                double rounds = Math.max(1, typical.deadlineS() / 2 / Math.max(1, typical.estimateS()));
                atOnce = (int) Math.min(scheduler.quotaLeft(typical), Math.ceil(typical.tasks() / rounds));
            }
            List<Room> rooms = rooms(now, typical);
            String zone = typical.zone() != null ? typical.zone()
                    : typical.oneZone() ? bestZone(typical, rooms, now) : null;
            rooms.removeIf(r -> !allowed(r.kind, typical, zone));
            rooms.sort(Comparator.comparingDouble(r -> r.then.cpus - r.type.cpus()));
            for (Room r : rooms) {
                int n = r.take(typical, atOnce, false);
                atOnce -= n;
                if (n > 0) {
                    kept.add(r.machine);
                }
            }
            rentFor(typical, atOnce, zone, rent, now, k -> true);
        }
        return kept;
    }

    /**
     * Adds machines for that many tasks to what is to be rented, of the cheapest kinds; stops at one that is not
     * worth it. Returns the new machines' rooms, with the tasks in them.
     */
    private List<Room> rentFor(JobSpec s, int tasks, String zone, Map<Kind, Integer> rent, double now,
            Predicate<Kind> worth) {
        List<Room> rented = new ArrayList<>();
        int left = tasks;
        while (left > 0) {
            Kind k = cheapest(s, zone, rent, now);
            if (k == null || !worth.test(k)) {
                break;
            }
            Room r = new Room(scheduler.types.get(k.type), k, null);
            int n = r.take(s, left, false);
            if (n == 0) {
                break;
            }
            left -= n;
            rent.merge(k, 1, Integer::sum);
            rented.add(r);
        }
        return rented;
    }

    /** Guards against a fleet kept rented for work that may come when none has come for long. */
    private boolean idle() {
        return scheduler.jobs.values().stream().allMatch(j -> j.over);
    }

    private double guaranteedCpus() {
        return idle() ? 0 : facts.teams().values().stream().mapToDouble(Facts.Team::cpus).sum();
    }

    /** Up or coming, and not on its way out. */
    private static boolean usable(Machine m) {
        return !m.releasing && !m.gone && !m.setAside && Double.isNaN(m.takenAt);
    }

    /** What teams are guaranteed must not wait for a boot: all guarantees together are kept rented. */
    private void floor(Map<Kind, Integer> rent, double now) {
        double missing = guaranteedCpus() - usableCpus;
        for (Map.Entry<Kind, Integer> e : rent.entrySet()) {
            missing -= e.getValue() * scheduler.types.get(e.getKey().type).cpus();
        }
        while (missing > 0) {
            Kind best = null;
            double bestPrice = 0;
            for (MachineType t : scheduler.types.values()) {
                for (String z : t.zones()) {
                    for (boolean spot : new boolean[] {true, false}) {
                        Kind k = new Kind(t.name(), z, spot);
                        double price = price(k, t, t.cpus(), rent);
                        if (mayBeHad(k, now) && t.cpus() > 0 && (best == null || price < bestPrice)) {
                            best = k;
                            bestPrice = price;
                        }
                    }
                }
            }
            if (best == null) {
                return;
            }
            rent.merge(best, 1, Integer::sum);
            missing -= scheduler.types.get(best.type).cpus();
        }
    }

    private void want(Job job, List<Room> rooms, Map<Kind, Integer> rent, double now, double wallMs) {
        if (scheduler.failures.mistaken(job, now)) {
            return; // It is tried in what is free anyway.
        }
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
            double places = Math.ceil((job.waiting() + job.live.size()) * each / Math.max(each, aim));
            waiting = (int) Math.max(0, Math.min(waiting, places - job.live.size()));
        }
        if (waiting == 0) {
            return;
        }
        String zone = s.zone();
        if (zone == null && s.oneZone()) {
            zone = bestZone(s, rooms, now);
        }
        // Guards against work that could run on spot machines filling ordinary ones for good, at several times the
        // price: it may use what is free there, but spot machines are rented for it as if it could not.
        boolean spotOnly = s.spot() && spotToBeHad(s, now);
        // Room that frees within a boot time is as good as a new machine, but not for a job that has to start sooner
        // to meet its deadline: such work needs the room that is free now, or more of it.
        boolean atOnce = s.deadlineS() != null;
        for (Room r : rooms) {
            if (waiting > 0 && allowed(r.kind, s, zone) && (r.kind.spot || !spotOnly)) {
                waiting -= r.take(s, waiting, atOnce);
            }
        }
        rooms.addAll(rentFor(s, waiting, zone, rent, now, k -> !s.spot() || k.spot || !inTime(job, wallMs)));
    }

    /**
     * Whether the job will be done when it should be even if it only gets its turn on what is rented. Guards against
     * ordinary machines rented at several times the price because spot ones have run out for the moment.
     */
    private boolean inTime(Job job, double wallMs) {
        double left = job.goalsMs[job.goalsMs.length - 1] - wallMs;
        return spotBacklog / Math.max(1, usableCpus) < left / 1000;
    }

    private boolean allowed(Kind k, JobSpec s, String zone) {
        return (s.types() == null || s.types().contains(k.type)) && (zone == null || zone.equals(k.zone))
                && (s.spot() || !k.spot);
    }

    /** For a job that must stay in one zone: where it could use most of what is there or coming. */
    private String bestZone(JobSpec s, List<Room> rooms, double now) {
        Map<String, Double> score = new LinkedHashMap<>();
        for (String z : facts.zones()) {
            score.put(z, cheapest(s, z, Map.of(), now) != null ? 0.1 : 0);
        }
        for (Room r : rooms) {
            if (allowed(r.kind, s, null) && s.cpus() > 0) {
                score.merge(r.kind.zone, Math.floor(r.then.cpus / s.cpus()), Double::sum);
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
                    if (!allowed(k, s, zone) || !mayBeHad(k, now)) {
                        continue;
                    }
                    double price = price(k, t, Placement.slots(s, t), rent);
                    if (best == null || price < bestPrice) {
                        best = k;
                        bestPrice = price;
                    }
                }
            }
        }
        return best;
    }

    /** Per unit of what a machine offers. Zones share: of equal ones, the one with the least of this kind. */
    private double price(Kind k, MachineType t, double units, Map<Kind, Integer> rent) {
        int there = counts.getOrDefault(k, 0) + rent.getOrDefault(k, 0);
        return (k.spot ? t.spotPrice() : t.price()) / units * (1 + 1e-4 * there);
    }

    /**
     * Guards against a new holder that knows a machine's age from the list but has not given its worker the time to
     * report yet: it would give back machines full of running tasks, or rent for work that they have room for.
     */
    private boolean mayBeOverdue(Machine m, double now) {
        return !m.reported() && m.attempts.isEmpty() && now - leadingSince > silenceS();
    }

    private boolean late(Machine m, double now) {
        return mayBeOverdue(m, now) && scheduler.boots.late(m, now);
    }

    /** How long a worker that is up may take to report: its lease, or a few reports and a change of nodes. */
    private double silenceS() {
        return Math.min(facts.workers().leaseS(), 5 * facts.workers().reportS() + 4);
    }

    // ---- giving back ----------------------------------------------------------------------------

    private List<String> returns(double now, Set<Machine> kept) {
        double lease = facts.workers().leaseS();
        double silence = silenceS();
        int up = 0;
        int silent = 0;
        Set<Machine> mute = new HashSet<>();
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
        // Guards against a holder that is cut off from workers itself: if several fall silent together, the fault is
        // hardly theirs, and they may be on their way to another node. Once their leases have run out for certain,
        // nothing is lost by giving them back, unless it is nearly all of them.
        boolean few = silent <= Math.max(1, up / 8);
        boolean some = silent * 2 <= up;
        List<String> out = new ArrayList<>();
        double spare = usableCpus - guaranteedCpus();
        for (Machine m : scheduler.machines.values()) {
            MachineType t = m.type == null ? null : scheduler.types.get(m.type);
            boolean give = m.releasing;
            boolean surplus = t != null && !late(m, now) && spare >= t.cpus() && !kept.contains(m)
                    && m.reservedFor == null;
            if (!m.spot && m.attempts.stream().anyMatch(a -> !a.job.spec.spot())) {
                m.neededAt = now;
            }
            m.draining = surplus && m.proven && !m.spot && m.neededAt < now && cheaperToBeHad(t, now);
            if (mute.contains(m)) {
                double quiet = now - Math.max(leadingSince, m.reported() ? m.lastReport : leadingSince);
                give |= few || some && quiet > 1.5 * lease || quiet > 3 * lease;
            } else if (t != null && mayBeOverdue(m, now) && scheduler.boots.hopeless(m, now)) {
                give = true;
                if (!m.releasing) {
                    refused(new Kind(m.type, m.zone, m.spot), now); // Where boots fail, others come first.
                }
            } else if (m.proven && !m.busy() && m.unwritten.isEmpty()) {
                give |= m.setAside;
                give |= surplus && now - m.neededAt > t.bootS() && (m.draining || idleTooLong(m, t, now));
            }
            if (surplus && (give || m.draining)) {
                spare -= t.cpus();
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

    /**
     * Guards against ordinary machines kept rented for minutes by a few small tasks that could run on spot ones: where
     * those have room, the tasks are moved there, if what they lose costs less than the machine until they end, and
     * they can begin anew and still be in time for all that is expected.
     */
    private void clear(double now, double wallMs) {
        double room = 0;
        for (Machine m : scheduler.machines.values()) {
            MachineType t = scheduler.types.get(m.type);
            if (m.spot && m.open() && t != null) {
                room += t.cpus() - m.usedCpus;
            }
        }
        for (Machine m : scheduler.machines.values()) {
            MachineType t = scheduler.types.get(m.type);
            if (!m.draining || m.releasing || m.attempts.isEmpty() || now - m.neededAt <= t.bootS()
                    || m.usedCpus > room || !worthMoving(m, t, now, wallMs)) {
                continue;
            }
            room -= m.usedCpus;
            LOG.debug("clearing {} of {} tasks", m.id, m.attempts.size());
            for (Attempt a : new ArrayList<>(m.attempts)) {
                scheduler.stop(a, a.job.spec.stopGraceS());
            }
        }
    }

    private boolean worthMoving(Machine m, MachineType t, double now, double wallMs) {
        double rest = 0;
        double lost = 0;
        for (Attempt a : m.attempts) {
            if (a.unwanted() || !a.seen || a.job.spec.shape() != JobSpec.Shape.ARRAY || a.job.goalsMs[0] < wallMs) {
                return false;
            }
            rest = Math.max(rest, a.remainingS(now));
            lost += a.job.spec.cpus() * a.unsavedS(now);
        }
        return rest > 2 * facts.workers().reportS() && rest * t.price() > 2 * lost * t.spotPrice() / t.cpus();
    }

    private boolean spotToBeHad(JobSpec s, double now) {
        return scheduler.types.values().stream().anyMatch(t -> Placement.slots(s, t) > 0 && cheaperToBeHad(t, now));
    }

    /**
     * Guards against work that could run on spot machines keeping ordinary ones rented: it fills them up again
     * and again, so they never idle.
     */
    private boolean cheaperToBeHad(MachineType t, double now) {
        return t.spotPrice() < t.price()
                && t.zones().stream().anyMatch(z -> mayBeHad(new Kind(t.name(), z, true), now));
    }

    private boolean idleTooLong(Machine m, MachineType t, double now) {
        // Worth keeping about as long as a new one would take to come.
        return now - m.idleSince > t.bootS();
    }
}
