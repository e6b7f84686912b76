package io.kitepath.core;

import io.kitepath.core.Report.Cause;
import io.kitepath.core.Report.State;
import io.kitepath.core.Report.TaskReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The block holder's mind: jobs, machines, and which task is where. Without input or output; the
 * {@link Keeper} writes down what it decides before anything is launched.
 */
final class Scheduler {
    private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);
    /** Commands in one answer; keeps it far below the 64 KiB limit. */
    private static final int MAX_ORDERS = 300;

    /** Half of what a worker waits for an answer. */
    private static final double MAX_HOLD_S = 2;

    final Facts facts;
    final Map<String, MachineType> types = new LinkedHashMap<>();
    final Map<String, Job> jobs = new LinkedHashMap<>();
    final TreeMap<String, Machine> machines = new TreeMap<>();
    final Placement placement;
    final GivingWay givingWay = new GivingWay(this);
    final Failures failures;
    final ImageRecords images;
    final Boots boots;
    private final Notes notes = new Notes(this);
    private final Map<String, double[]> teamUse = new HashMap<>();
    /** Names of machines that are gone for certain; lists may show them a while longer. */
    private final Set<String> tombstones = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > 5000;
        }
    });
    /** The jobs that came last, newest last: what the next ones may be like. */
    private final ArrayDeque<Job> lately = new ArrayDeque<>();
    /** Parts with placings that are not written, and parts that differ otherwise; the longest waiting first. */
    final Set<Job.Part> placings = new LinkedHashSet<>();
    final Set<Job.Part> changes = new LinkedHashSet<>();
    long token;
    long ends;
    long lost;
    /** Something changed that may let work be placed. */
    boolean changed;
    /** Whether work waited after the last placing. */
    private boolean backlog;
    /** Launches, and the seconds that passed between their placing and their order to the worker. */
    long launches;
    double launchDelayS;

    Scheduler(Facts facts, Random random) {
        this.facts = facts;
        this.placement = new Placement(random, types);
        this.failures = new Failures(facts, machines);
        this.images = new ImageRecords(facts);
        this.boots = new Boots(types);
    }

    // ---- jobs -----------------------------------------------------------------------------------

    void forgetJobs() {
        jobs.clear();
        teamUse.clear();
        placings.clear();
        changes.clear();
        for (Machine m : machines.values()) {
            m.forgetAttempts();
        }
    }

    void addJob(Job job) {
        jobs.put(job.spec.id(), job);
        LOG.debug("job {} of {}: {} tasks of {} CPUs, image {}", job.spec.id(), job.spec.jobClass(), job.spec.tasks(),
                job.spec.cpus(), job.spec.image());
        changed = true;
        lately.addLast(job);
        if (lately.size() > 200) {
            lately.removeFirst();
        }
    }

    /**
     * Of the class's jobs that came lately, the one than which that share of them are not larger. Null if there is
     * none, or if by their usual pace the next one is long overdue: room kept for it would be kept for nobody.
     */
    JobSpec typical(String jobClass, double share, double wallMs, double patienceS) {
        List<Job> of = lately.stream().filter(j -> j.spec.jobClass().equals(jobClass))
                .sorted(Comparator.comparingDouble(j -> j.submittedMs)).toList();
        if (of.isEmpty()) {
            return null;
        }
        double last = of.get(of.size() - 1).submittedMs;
        double gap = (last - of.get(0).submittedMs) / Math.max(1, of.size() - 1);
        if (wallMs - last > Math.max(patienceS * 1000, 10 * gap)) {
            return null;
        }
        return of.stream().map(j -> j.spec).sorted(Comparator.comparingDouble(s -> s.tasks() * s.cpus()))
                .skip((long) Math.min(of.size() - 1, Math.floor(share * of.size()))).findFirst().orElseThrow();
    }

    /** Takes over what a part record says is, or may be, on machines. */
    void adopt(Job job, Map<?, ?> live, double now) {
        for (Map.Entry<?, ?> e : live.entrySet()) {
            Machine m = machine((String) e.getKey(), now);
            List<?> l = (List<?>) e.getValue();
            for (int i = 0; i + 1 < l.size(); i += 2) {
                Attempt a = new Attempt(job, ((Number) l.get(i)).intValue(), ((Number) l.get(i + 1)).longValue(), m,
                        now, 0);
                a.durable = true;
                a.launched = true;
                attach(a);
                job.nextAttempt = Math.max(job.nextAttempt, a.number + 1);
            }
        }
    }

    /** The job is done or cancelled in the store; whatever of it is still on machines has to go. */
    void jobOver(String id) {
        Job job = jobs.get(id);
        if (job == null || job.over) {
            return;
        }
        job.over = true;
        changed = true;
        for (Attempt a : new ArrayList<>(job.live.values())) {
            if (!a.durable) {
                withdraw(a);
            }
        }
        job.version++;
        for (Job.Part p : job.parts) {
            if (p.revision > 0) {
                p.changed = job.version;
                changes.add(p); // To be removed, or kept for as long as something is on machines.
            }
        }
        LOG.info("job {} over, {} attempts to end", id, job.live.size());
    }

    /** How far those of the jobs are that are known here. */
    List<Progress> progress(List<String> ids, double now) {
        List<Progress> out = new ArrayList<>();
        for (String id : ids) {
            Job job = jobs.get(id);
            if (job != null) {
                out.add(job.progress(now, facts.workers().reportS(), notes));
            }
        }
        return out;
    }

    // ---- attempts -------------------------------------------------------------------------------

    private void attach(Attempt a) {
        a.job.live.put(a.task, a);
        a.machine.add(a);
        use(a.job.spec, 1);
        a.job.stopping += a.stopping() ? 1 : 0;
    }

    /**
     * Takes back a placing that is not known to be written, so was never launched. Its write may be under way all
     * the same, hence the part counts as changed.
     */
    private void withdraw(Attempt a) {
        use(a.job.spec, -1);
        a.job.live.remove(a.task, a);
        changes.add(a.job.touch(a.task));
        a.job.stopping -= a.stopping() ? 1 : 0;
        a.machine.remove(a);
        changed = true;
    }

    private void use(JobSpec s, int sign) {
        double[] u = teamUse.computeIfAbsent(s.team(), k -> new double[2]);
        u[0] += sign * s.cpus();
        u[1] += sign * s.gpus();
    }

    /** The attempt is proven over. It stays on the machine's list until that is written, and is cleared after. */
    private void end(Attempt a, Cause cause, double now) {
        if (a.ended) {
            return;
        }
        Job job = a.job;
        use(job.spec, -1);
        a.ended = true;
        a.state = State.ENDED;
        job.live.remove(a.task, a);
        job.stopping -= a.stopping() ? 1 : 0;
        ends++;
        changed = true;
        Machine m = a.machine;
        m.remove(a);
        if (a.durable) {
            m.unwritten.add(a);
            job.unwritten.add(a);
        }
        if (!m.busy()) {
            m.idleSince = now;
        }
        if (!job.over) {
            judge(a, cause, now);
        }
        changes.add(job.touch(a.task));
        a.endedVersion = job.version;
    }

    private void judge(Attempt a, Cause cause, double now) {
        Job job = a.job;
        Machine m = a.machine;
        switch (cause == null ? Cause.STOPPED : cause) {
            case DONE -> {
                failures.succeeded(a);
                if (job.spec.shape() == JobSpec.Shape.SERVICE) {
                    break;
                }
                if (job.spec.gang()) {
                    // The tasks of a gang complete together.
                    job.done.set(0, job.spec.tasks());
                    job.version++;
                    for (Job.Part p : job.parts) {
                        p.changed = job.version;
                        changes.add(p);
                    }
                } else {
                    job.done.set(a.task);
                }
            }
            case ERROR -> failures.failed(a, now);
            case NO_ROOM, BUSY, UNKNOWN -> {
                LOG.info("attempt {} refused: {}", a, cause);
                job.notBefore = Math.max(job.notBefore, now + facts.workers().reportS());
            }
            default -> LOG.debug("attempt {} ended: {}", a, cause);
        }
        if (job.spec.gang() && cause != Cause.DONE) {
            if (cause == Cause.ALONE) {
                hasImage(a);
            }
            if (cause == Cause.ALONE && fetching(job) && (m.reservedFor == null || m.kept)) {
                m.reservedFor = job;
                m.kept = false;
                m.reservedUntil = now + 3 * fetchS(job.spec) + facts.workers().gangWaitS();
            }
            restartOnceFetched(job);
        }
    }

    /**
     * One task of a gang is gone: the rest can't finish, and all restart together once they are proven over. Guards
     * against a gang that never starts because its image takes longer than its tasks wait for each other: those that
     * have it give up, and if the others were stopped then, what they had fetched was lost, and it began anew. So
     * they fetch on, the room of those that gave up is held, and all restart where the image is.
     */
    private void restartOnceFetched(Job job) {
        if (!job.live.isEmpty() && job.live.size() < job.spec.tasks() && !fetching(job)) {
            for (Attempt other : new ArrayList<>(job.live.values())) {
                stop(other, 0);
            }
        }
    }

    private static boolean fetching(Job job) {
        return job.live.values().stream().anyMatch(a -> a.seen && !a.unwanted() && a.state == State.FETCHING);
    }

    private double fetchS(JobSpec s) {
        double rate = types.values().stream().mapToDouble(MachineType::fetchGbPerS).filter(r -> r > 0).min().orElse(1);
        return s.imageGb() / rate;
    }

    void stop(Attempt a, double graceS) {
        if (a.ended) {
            return;
        }
        if (!a.durable) {
            withdraw(a);
            return;
        }
        if (!a.stopping()) {
            a.job.stopping++;
            a.stopGraceS = graceS;
        }
        a.stopGraceS = Math.min(a.stopGraceS, graceS);
    }

    // ---- machines -------------------------------------------------------------------------------

    Machine machine(String id, double now) {
        return machines.computeIfAbsent(id, k -> {
            Machine m = new Machine(k, now);
            images.recall(m);
            return m;
        });
    }

    /** The machine and all on it are gone for certain: released, taken, or unknown to the cloud. */
    void machineGone(String id, double now) {
        tombstones.add(id);
        Machine m = machines.remove(id);
        if (m == null) {
            return;
        }
        m.gone = true;
        for (Attempt a : new ArrayList<>(m.attempts)) {
            lost++;
            end(a, Cause.STOPPED, now);
        }
        changed = true;
        LOG.info("machine {} gone", id);
    }

    /** What the cloud says exists. A list can be old, so it never proves a machine gone. */
    void listed(Collection<Cloud.Listed> list, double now) {
        for (Cloud.Listed l : list) {
            if (tombstones.contains(l.machine())) {
                continue;
            }
            boolean fresh = !machines.containsKey(l.machine());
            Machine m = machine(l.machine(), now);
            if (fresh) {
                m.knownSince = now - l.heldS();
            }
            m.type = l.type();
            m.zone = l.zone();
            m.spot = l.spot();
            if (l.status().equals("failed")) {
                m.releasing = true;
            }
        }
    }

    void rented(String id, String type, String zone, boolean spot, double now) {
        if (tombstones.contains(id)) {
            return;
        }
        Machine m = machine(id, now);
        m.rentedHere = !m.reported();
        m.type = type;
        m.zone = zone;
        m.spot = spot;
    }

    // ---- check-ins ------------------------------------------------------------------------------

    /**
     * Takes in a report; {@code loaded} is false until the jobs are known. Answers what to do about tasks that are
     * not ours, or no longer; {@link #commands} has the rest.
     */
    List<Order> checkIn(Report r, boolean loaded, double now) {
        Machine m = machine(r.machine(), now);
        if (m.gone || tombstones.contains(r.machine())) {
            return List.of();
        }
        if (r.session() < m.session || r.session() == m.session && r.sequence() <= m.sequence) {
            return List.of(); // Late: a newer report has been read already.
        }
        m.session = r.session();
        m.sequence = r.sequence();
        m.type = r.type();
        m.zone = r.zone();
        m.spot = r.spot();
        m.address = r.address();
        if (!m.reported()) {
            m.idleSince = now;
            if (m.rentedHere) {
                boots.took(m, now);
            }
        }
        m.lastReport = now;
        if (r.noticeS() != null) {
            if (Double.isNaN(m.takenAt)) {
                LOG.info("machine {} will be taken in {} s", m.id, r.noticeS());
            }
            m.takenAt = now + r.noticeS();
        } else {
            m.takenAt = Double.NaN;
        }
        // Guards against a report that was sent before the worker knew us: an earlier holder's launch might still
        // have been on its way to it then. Only a report that carries our token proves what is not on the machine.
        if (!loaded || r.token() != token) {
            return List.of();
        }
        boolean open = m.open();
        if (!m.proven) {
            LOG.debug("machine {} reports with our token, session {}, {} tasks", m.id, r.session(), r.tasks().size());
        }
        m.proven = true;
        List<Order> orders = reconcile(m, r, now);
        changed |= open != m.open();
        return orders;
    }

    private List<Order> reconcile(Machine m, Report r, double now) {
        List<Order> orders = new ArrayList<>();
        List<TaskReport> strays = new ArrayList<>();
        int before = m.attempts.size();
        int reading = ++m.readings;
        for (TaskReport t : r.tasks()) {
            Job job = jobs.get(t.job());
            Attempt a = job == null ? null : job.live.get(t.task());
            if (a != null && a.machine == m && a.number == t.attempt()) {
                a.reading = reading;
                present(a, t, now);
            } else if (m.unwritten.stream().noneMatch(u -> u.is(t))) {
                strays.add(t);
            }
        }
        for (Attempt a : new ArrayList<>(m.attempts)) {
            if (a.reading != reading && !a.ended) {
                absent(a, now);
            }
        }
        m.endedLately = before > m.attempts.size();
        m.strangers = 0;
        for (TaskReport t : strays) {
            stray(m, t, orders, now);
        }
        return orders;
    }

    /** What the machine's worker shall start and stop, to be sent only as the answer to its latest report. */
    List<Order> commands(String machine, boolean mayStart, double now) {
        Machine m = machines.get(machine);
        List<Order> orders = new ArrayList<>();
        if (m == null || !m.proven) {
            return orders;
        }
        for (Attempt a : m.attempts) {
            if (orders.size() >= MAX_ORDERS) {
                break;
            }
            if (toStop(a)) {
                orders.add(stopOrder(a));
            } else if (mayStart && toStart(a)) {
                if (!a.launched) {
                    launches++;
                    launchDelayS += now - a.placedAt;
                }
                a.launched = true;
                orders.add(new Order(Order.Verb.START, a.job.spec.id(), a.task, a.number, 0));
            }
        }
        return orders;
    }

    /**
     * What is to stop at once, by machine, and was not told so yet: a busy machine asks only once in a report interval,
     * and whoever the room is for waits as long. The next answer to its report says it again in any case.
     * {@code most}: machines at once.
     */
    Map<Machine, List<Order>> stops(int most, double now) {
        Map<Machine, List<Order>> out = new LinkedHashMap<>();
        for (Job job : jobs.values()) {
            if (!job.over && job.stopping == 0) {
                continue;
            }
            for (Attempt a : job.live.values()) {
                Machine m = a.machine;
                if (toStop(a) && !a.stopSent && m.proven && !m.commanded && !m.releasing && !m.address.isEmpty()
                        && now - m.lastReport < 2 * facts.workers().reportS()
                        && (out.size() < most || out.containsKey(m))) {
                    a.stopSent = true;
                    out.computeIfAbsent(m, k -> new ArrayList<>()).add(stopOrder(a));
                }
            }
        }
        return out;
    }

    private static Order stopOrder(Attempt a) {
        return new Order(Order.Verb.STOP, a.job.spec.id(), a.task, a.number, a.job.over ? 0 : a.stopGraceS);
    }

    /**
     * A worker's report in answer to direct commands. It proves what ended, but not what is absent: a launch in the
     * answer to a check-in may still be on its way to the worker.
     */
    void answered(Machine m, Report r, double now) {
        if (m.gone || !m.proven || r.session() != m.session || r.sequence() <= m.sequence || r.token() != token) {
            return;
        }
        m.sequence = r.sequence();
        for (TaskReport t : r.tasks()) {
            Job job = jobs.get(t.job());
            Attempt a = job == null ? null : job.live.get(t.task());
            if (a != null && a.machine == m && a.number == t.attempt()) {
                present(a, t, now);
            }
        }
    }

    /** Whether something is to be started or stopped on the machine. */
    boolean hasCommands(String machine) {
        Machine m = machines.get(machine);
        return m != null && m.attempts.stream().anyMatch(a -> toStop(a) || toStart(a));
    }

    private static boolean toStop(Attempt a) {
        return a.unwanted() && a.seen;
    }

    private static boolean toStart(Attempt a) {
        return !a.unwanted() && a.durable && !a.seen && startable(a);
    }

    /**
     * How long the answer to the machine's report is worth holding back for work that may come: on an idle machine,
     * which has nothing to report meanwhile, until its next report is due; on one where something just ended while
     * other work waits, for the moment that placing and writing takes.
     */
    double patience(String machine) {
        Machine m = machines.get(machine);
        if (m == null || !m.open()) {
            return 0;
        }
        double report = facts.workers().reportS();
        if (!m.busy()) {
            return Math.min(report, MAX_HOLD_S);
        }
        return m.endedLately && backlog ? report / 10 : 0;
    }

    /** A gang is launched only when every one of its tasks has a machine, and that is written down. */
    private static boolean startable(Attempt a) {
        if (!a.job.spec.gang()) {
            return true;
        }
        return a.job.live.size() == a.job.spec.tasks()
                && a.job.live.values().stream().allMatch(x -> x.durable && x.number == a.number);
    }

    private void present(Attempt a, TaskReport t, double now) {
        if (!a.seen) {
            a.seen = true;
            a.machine.unconfirmed--;
        }
        a.launched = true;
        if (t.state() != a.state) {
            a.state = t.state();
            if (t.state() == State.WAITING) {
                hasImage(a);
            } else if (t.state() == State.RUNNING) {
                a.runningSince = now;
                LOG.debug("attempt {} runs, {} s after it was placed", a, Math.round(now - a.placedAt));
                hasImage(a);
            }
        }
        if (t.state() == State.ENDED) {
            end(a, t.cause(), now);
        }
    }

    private void hasImage(Attempt a) {
        MachineType type = types.get(a.machine.type);
        a.machine.ran(a.job.spec.image(), a.job.spec.imageGb(), type == null ? 0 : type.cacheGb());
    }

    /** A report newer than any launch of this attempt does not show it. */
    private void absent(Attempt a, double now) {
        if (a.seen) {
            lost++;
            LOG.info("attempt {} lost with its session", a);
            end(a, Cause.STOPPED, now);
        } else if (a.durable && a.unwanted()) {
            end(a, Cause.STOPPED, now);
        } else if (a.launched && a.job.spec.gang()
                && a.job.live.values().stream().anyMatch(x -> x.state == State.RUNNING || x.state == State.SAVING)) {
            // A gang that ran without this task has lost it; starting it again would not bring the others back.
            end(a, Cause.PEERS, now);
        }
        // Otherwise it was never executed, and this very answer launches it (again).
    }

    /** The worker has a task that we have not placed there. */
    private void stray(Machine m, TaskReport t, List<Order> orders, double now) {
        if (t.state() == State.ENDED) {
            orders.add(new Order(Order.Verb.FORGET, t.job(), t.task(), t.attempt(), 0));
            return;
        }
        Job job = jobs.get(t.job());
        if (job != null && t.task() >= 0 && t.task() < job.spec.tasks() && !job.live.containsKey(t.task())
                && !job.done.get(t.task())) {
            // Should not be: count it in and write it down before it is stopped, so the task can't run elsewhere.
            LOG.error("machine {} has {}/{} which was not placed there", m.id, t.job(), t.task());
            changes.add(job.touch(t.task()));
            Attempt a = new Attempt(job, t.task(), t.attempt(), m, now, job.version);
            a.durable = true;
            a.launched = true;
            a.seen = true;
            a.state = t.state();
            a.stopGraceS = 0;
            job.nextAttempt = Math.max(job.nextAttempt, t.attempt() + 1);
            attach(a);
            return;
        }
        m.strangers++;
        orders.add(new Order(Order.Verb.STOP, t.job(), t.task(), t.attempt(), 0));
    }

    // ---- placing --------------------------------------------------------------------------------

    /** Unfinished jobs with work to place, in the order in which they are served. */
    List<Job> queue(double now, double wallMs) {
        markGuaranteed();
        double capacity = 0;
        for (Machine m : machines.values()) {
            MachineType t = types.get(m.type);
            capacity += t != null && m.open() ? t.cpus() : 0;
        }
        // A mistaken job is served last and takes nobody's time.
        List<Job> good = new ArrayList<>();
        List<Job> mistaken = new ArrayList<>();
        for (Job j : jobs.values()) {
            (failures.mistaken(j, now) ? mistaken : good).add(j);
        }
        List<Job> order = new ServiceOrder(capacity, now, wallMs).of(good);
        mistaken.removeIf(j -> j.waiting() == 0);
        order.addAll(mistaken);
        return order;
    }

    /** A job is within its team's guarantee if it fits into it together with the team's earlier unfinished jobs. */
    private void markGuaranteed() {
        List<Job> bySubmission = new ArrayList<>(jobs.values());
        bySubmission.sort(Comparator.comparingDouble(j -> j.submittedMs));
        Map<String, double[]> claimed = new HashMap<>();
        for (Job j : bySubmission) {
            Facts.Team t = facts.teams().get(j.spec.team());
            if (j.over || t == null) {
                j.guaranteed = false;
                continue;
            }
            double[] c = claimed.computeIfAbsent(t.name(), k -> new double[2]);
            int left = j.spec.tasks() - j.done.cardinality();
            c[0] += left * j.spec.cpus();
            c[1] += left * j.spec.gpus();
            j.guaranteed = (t.cpus() > 0 || t.gpus() > 0) && c[0] <= t.cpus() + 1e-6
                    && (j.spec.gpus() == 0 || c[1] <= t.gpus() + 1e-6);
        }
    }

    /** CPUs of the team's attempts that are not proven over. */
    double usedCpus(String team) {
        double[] u = teamUse.get(team);
        return u == null ? 0 : u[0];
    }

    /** How many more tasks of this kind the team's limit allows. */
    int quotaLeft(JobSpec s) {
        Facts.Team t = facts.teams().get(s.team());
        if (t == null) {
            return 0;
        }
        double[] u = teamUse.getOrDefault(s.team(), new double[2]);
        double n = Integer.MAX_VALUE;
        if (t.cpusMax() > 0 && s.cpus() > 0) {
            n = Math.min(n, (t.cpusMax() - u[0] + 1e-6) / s.cpus());
        }
        if (t.gpusMax() > 0 && s.gpus() > 0) {
            n = Math.min(n, (t.gpusMax() - u[1] + 1e-6) / s.gpus());
        }
        return (int) Math.max(0, n);
    }

    /** What a job asks of machines; what one did not find, others that ask the same won't find either. */
    private record Want(JobSpec.Priority priority, String team, boolean guaranteed, double cpus, double gpus,
            double memoryGb, List<String> types, String zone, boolean spot) {
        static Want of(Job j) {
            JobSpec s = j.spec;
            return new Want(s.priority(), s.team(), j.guaranteed, s.cpus(), s.gpus(), s.memoryGb(), s.types(), s.zone(),
                    s.spot());
        }
    }

    /**
     * Of this round: small tasks that found no machine, and for which none can be made. Guards against a look at the
     * whole block for each of a thousand jobs of one task that wait.
     */
    private final Set<Want> full = new HashSet<>();

    /** Places what it can, at most {@code most} tasks; the placings take effect once they are written. */
    int place(double now, double wallMs, int most) {
        changed = false;
        List<Machine> open = new ArrayList<>();
        for (Machine m : machines.values()) {
            if (m.kept || now >= m.reservedUntil || m.reservedFor != null && m.reservedFor.waiting() == 0) {
                m.reservedFor = null;
                m.kept = false;
            }
            if (m.open()) {
                open.add(m);
            }
        }
        int placed = 0;
        backlog = false;
        full.clear();
        Set<Job> expected = new HashSet<>();
        open.forEach(m -> expected.add(m.reservedFor));
        for (Job job : queue(now, wallMs)) {
            backlog = true;
            if (placed >= most) {
                changed = true;
                break;
            }
            if (now < job.notBefore) {
                continue;
            }
            boolean small = givingWay.small(job.spec);
            if (small && !expected.contains(job) && job.failedOn.isEmpty() && full.contains(Want.of(job))) {
                continue;
            }
            int n = job.spec.gang() ? placeGang(job, open, now) : placeTasks(job, open, now, most - placed);
            placed += n;
            if (!failures.mistaken(job, now) && job.waiting() > 0
                    && quotaLeft(job.spec) >= (job.spec.gang() ? job.spec.tasks() : 1)
                    && !givingWay.makeRoom(job, open, now) && small && job.failedOn.isEmpty()) {
                full.add(Want.of(job));
            }
        }
        return placed;
    }

    private List<Machine> candidates(Job job, List<Machine> open) {
        JobSpec s = job.spec;
        List<Machine> out = new ArrayList<>();
        List<Machine> failed = new ArrayList<>();
        String onlyZone = s.oneZone() && !job.live.isEmpty() ? job.live.firstEntry().getValue().machine.zone : null;
        for (Machine m : open) {
            if ((m.reservedFor == null || m.reservedFor == job || m.kept && givingWay.yields(job, m.reservedFor))
                    && placement.allowed(m, s)
                    && (onlyZone == null || onlyZone.equals(m.zone)) && !(m.draining && s.spot())) {
                (job.failedOn.contains(m.id) ? failed : out).add(m);
            }
        }
        // Guards against retries that land where they failed: such machines come only when there is no other.
        return out.isEmpty() ? failed : out;
    }

    private int placeTasks(Job job, List<Machine> open, double now, int most) {
        JobSpec s = job.spec;
        int n = Math.min(most, quotaLeft(s));
        if (failures.mistaken(job, now)) {
            n = Math.min(n, job.live.isEmpty() ? 1 : 0);
        }
        int placed = 0;
        Map<String, Integer> perZone = new HashMap<>();
        Placement.Search search = placement.search(s, candidates(job, open));
        if (s.spread()) {
            for (Attempt a : job.live.values()) {
                perZone.merge(a.machine.zone, 1, Integer::sum);
            }
            search = search.within(m -> perZone.getOrDefault(m.zone, 0) < s.mostPerZone());
        }
        for (int t = job.nextWaiting(0); t >= 0 && placed < n; t = job.nextWaiting(t + 1)) {
            Machine m = search.next();
            if (m == null) {
                break;
            }
            if (s.oneZone() && placed == 0) {
                search = search.within(x -> x.zone.equals(m.zone));
            }
            assign(job, t, m, job.nextAttempt, now);
            placed++;
            if (s.spread() && perZone.merge(m.zone, 1, Integer::sum) >= s.mostPerZone()) {
                search = search.within(x -> !x.zone.equals(m.zone));
            }
        }
        if (placed > 0) {
            job.nextAttempt++;
        }
        return placed;
    }

    private int placeGang(Job job, List<Machine> open, double now) {
        // Until every task of the old attempt is proven over, the gang can't start anew.
        if (!job.live.isEmpty()) {
            restartOnceFetched(job);
            return 0;
        }
        if (quotaLeft(job.spec) < job.spec.tasks()) {
            return 0;
        }
        List<Machine> found = placement.chooseGang(job.spec, candidates(job, open));
        if (found == null) {
            return 0;
        }
        for (int t = 0; t < found.size(); t++) {
            assign(job, t, found.get(t), job.nextAttempt, now);
        }
        job.nextAttempt++;
        return found.size();
    }

    private void assign(Job job, int task, Machine m, long number, double now) {
        Job.Part part = job.touch(task);
        part.placed = job.version;
        placings.add(part);
        attach(new Attempt(job, task, number, m, now, job.version));
        LOG.debug("placed {}/{}#{} on {}", job.spec.id(), task, number, m.id);
    }

    // ---- what was written -----------------------------------------------------------------------

    /** Has the part written if it differs from its record. */
    void queue(Job.Part p) {
        if (p.placed > p.written) {
            placings.add(p);
        } else if (p.changed > p.written) {
            changes.add(p);
        }
    }

    /** Everything about this part up to {@code version} is in the store now. */
    void recorded(Job.Part part, int version, long revision) {
        Job job = part.job;
        part.revision = revision;
        part.written = version;
        queue(part);
        for (Attempt a : job.liveIn(part.index)) {
            if (a.placedVersion <= version) {
                a.durable = true;
            }
        }
        job.unwritten.removeIf(a -> {
            boolean now = job.partOf(a.task) == part.index && a.endedVersion <= version;
            if (now) {
                a.machine.unwritten.remove(a);
            }
            return now;
        });
    }

    /** One line for the log. */
    String summary() {
        Map<String, int[]> classes = new TreeMap<>();
        for (Job j : jobs.values()) {
            int[] c = classes.computeIfAbsent(j.spec.jobClass(), k -> new int[3]);
            c[0]++;
            c[1] += j.waiting();
            c[2] += j.live.size();
        }
        StringBuilder b = new StringBuilder("block:");
        classes.forEach((k, c) -> b.append(' ').append(k).append(" jobs=").append(c[0]).append(" waiting=")
                .append(c[1]).append(" placed=").append(c[2]).append(';'));
        int[] n = new int[6];
        double used = 0;
        for (Machine m : machines.values()) {
            n[m.spot ? 1 : 0]++;
            n[2] += m.proven ? 0 : 1;
            n[3] += m.setAside ? 1 : 0;
            n[4] += m.busy() ? 0 : 1;
            n[5] += m.reservedFor != null ? 1 : 0;
            used += m.usedCpus;
        }
        return b.append(" machines ordinary=").append(n[0]).append(" spot=").append(n[1]).append(" unproven=")
                .append(n[2]).append(" aside=").append(n[3]).append(" idle=").append(n[4]).append(" reserved=")
                .append(n[5]).append(" cpus=").append(Math.round(used)).append(" launched=").append(launches)
                .append(" after=").append(String.format("%.2f", launchDelayS / Math.max(1, launches))).toString();
    }

    /** A job that is over, with nothing of it left anywhere. */
    void dropJob(Job job) {
        jobs.remove(job.spec.id());
        if (job.successes == 0) {
            failures.acquit(job);
        }
        job.unwritten.forEach(a -> a.machine.unwritten.remove(a));
    }
}
