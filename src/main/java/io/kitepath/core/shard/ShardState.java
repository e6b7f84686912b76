package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat.EndCause;
import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.port.Cloud;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the holder of the block knows: its jobs, its machines, which attempts are not proven over,
 * and what of all that the store has not been told. It decides nothing about where work goes; it
 * keeps count of what was decided, so that whatever is unproven counts against every limit.
 */
public final class ShardState {
    private static final Logger LOG = LoggerFactory.getLogger(ShardState.class);
    private static final int TOMBSTONES = 5000;

    private final ClusterSettings settings;
    private final Map<String, MachineType> types = new LinkedHashMap<>();
    private final Map<String, MachineType> typesView = Collections.unmodifiableMap(types);
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Job> jobsView = Collections.unmodifiableMap(jobs);
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, Machine> machinesView = Collections.unmodifiableMap(machines);
    private final FailureDiagnosis failures;
    private final BootTimes boots;
    private final PendingReasons notes = new PendingReasons(this);

    /** Is told of every machine that becomes known. */
    private final Consumer<Machine> newcomers;

    private final QuotaUsage teamUse;

    /** Machines that are put down as going. */
    private final Set<String> going = new HashSet<>();

    /** Names of machines that are gone for certain; lists may show them a while longer. */
    private final Set<String> tombstones =
            Collections.newSetFromMap(
                    new LinkedHashMap<>() {
                        @Override
                        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                            return size() > TOMBSTONES;
                        }
                    });

    private final RecentArrivals lately = new RecentArrivals();
    private final StartLatencies leads = new StartLatencies();
    private final DirtyParts unwritten = new DirtyParts();
    private final ServiceLevels served;
    private final JobDependencies pipelines;

    /** Jobs whose parts are to be laid out anew. */
    private final Set<Job> wide = new LinkedHashSet<>();

    /** How many tasks one part of a job holds whose record does not say. */
    private int partTasks;

    private int recordBytes;
    private long token;
    private long ends;
    private long lost;
    private boolean changed;
    private boolean backlog;

    /** {@code newcomers} is told of every machine that becomes known. */
    public ShardState(ClusterSettings settings, Consumer<Machine> newcomers) {
        this.settings = settings;
        this.teamUse = new QuotaUsage(settings);
        this.newcomers = newcomers;
        this.served = new ServiceLevels(settings);
        this.failures = new FailureDiagnosis(settings, machines);
        this.boots = new BootTimes(types);
        this.pipelines =
                new JobDependencies(
                        settings, jobs, spec -> leads.mostS(spec.jobClass()), this::change);
        this.partTasks = settings.tasksPerPart();
        this.recordBytes = settings.store().maxValueBytes();
    }

    public ClusterSettings facts() {
        return settings;
    }

    /** The machine types by name, empty until they are known. */
    public Map<String, MachineType> types() {
        return typesView;
    }

    public void learn(Collection<MachineType> all) {
        types.clear();
        all.forEach(type -> types.put(type.name(), type));
    }

    /** By id: jobs that are open, or over with something of them left. */
    public Map<String, Job> jobs() {
        return jobsView;
    }

    public Map<String, Machine> machines() {
        return machinesView;
    }

    public FailureDiagnosis failures() {
        return failures;
    }

    public BootTimes boots() {
        return boots;
    }

    public QuotaUsage teamUse() {
        return teamUse;
    }

    public RecentArrivals lately() {
        return lately;
    }

    public StartLatencies leads() {
        return leads;
    }

    /** What classes and teams got of what they asked for. */
    public ServiceLevels served() {
        return served;
    }

    /** Which jobs wait for which. */
    public JobDependencies pipelines() {
        return pipelines;
    }

    /** How many tasks one part of a job holds whose record does not say. */
    public int partTasks() {
        return partTasks;
    }

    /** What the deployment's records are laid out by, whatever the settings say by now. */
    public void laidOutBy(int tasks) {
        partTasks = tasks;
    }

    public DirtyParts unwritten() {
        return unwritten;
    }

    public long token() {
        return token;
    }

    /**
     * Attempts proven over, and of those the ones that were lost with their machine or its session.
     */
    public long ends() {
        return ends;
    }

    public long lost() {
        return lost;
    }

    /** Whether something changed that may let work be placed. */
    public boolean changed() {
        return changed;
    }

    public void change() {
        changed = true;
    }

    /** Whether work waited after the last placing. */
    public boolean backlog() {
        return backlog;
    }

    /** A round of placing begins: what changed until now is looked at. */
    public void beginRound(double now) {
        changed = false;
        backlog = false;
        machines.values().forEach(machine -> machine.reconsider(now));
    }

    /** Work waits in this round. */
    public void waits() {
        backlog = true;
    }

    // ---- holding ------------------------------------------------------------------------------

    /** From now on this token is ours; every machine has to report with it before it gets work. */
    public void hold(long newToken) {
        token = newToken;
        machines.values().forEach(Machine::unproven);
    }

    /** Held by somebody else: what this node knew may be wrong from now on. */
    public void yield() {
        forgetJobs();
        machines.clear();
        going.clear();
    }

    // ---- jobs -----------------------------------------------------------------------------------

    public void forgetJobs() {
        jobs.clear();
        teamUse.clear();
        unwritten.clear();
        served.clear();
        pipelines.clear();
        wide.clear();
        for (Machine machine : machines.values()) {
            machine.forgetAttempts();
        }
    }

    public void addJob(Job job) {
        jobs.put(job.spec.id(), job);
        LOG.debug(
                "job {} of {}: {} tasks of {} CPUs, image {}",
                job.spec.id(),
                job.spec.jobClass(),
                job.spec.taskCount(),
                job.spec.cpusPerTask(),
                job.spec.image());
        changed = true;
        lately.add(job);
        served.came(job.spec);
        if (!job.isFinished) {
            pipelines.jobOpened(job);
        }
    }

    /**
     * A job that is over and has records of its tasks left: something of it may still be on
     * machines.
     */
    public void addOver(Job job) {
        job.isFinished = true;
        addJob(job);
    }

    /**
     * Takes over what a part's record says is done and what is, or may be, on machines.
     *
     * @throws io.kitepath.core.model.InvalidInputException if the record is not one of a part
     */
    public void adopt(Job job, int part, Object record, long revision, double now) {
        for (Map.Entry<?, ?> e : job.readPart(part, record, revision).entrySet()) {
            Machine machine = machine((String) e.getKey(), now);
            List<?> l = (List<?>) e.getValue();
            for (int i = 0; i + 1 < l.size(); i += 2) {
                Attempt attempt =
                        new Attempt(
                                job,
                                ((Number) l.get(i)).intValue(),
                                ((Number) l.get(i + 1)).longValue(),
                                machine,
                                now,
                                0);
                attempt.isDurable = true;
                attempt.mayBeLaunched = true;
                attach(attempt);
                job.nextAttempt = Math.max(job.nextAttempt, attempt.number + 1);
            }
        }
        pipelines.jobStarted(job);
        if (job.isFinished) {
            unwritten.enqueueIfDirty(job.markPartDirty(part));
        }
    }

    /**
     * The job is done or cancelled in the store; whatever of it is still on machines has to go.
     * Returns whether that is news here.
     */
    public boolean jobOver(String id) {
        Job job = jobs.get(id);
        if (job == null || job.isFinished) {
            return false;
        }
        job.isFinished = true;
        changed = true;
        pipelines.jobClosed(job);
        for (Attempt attempt : new ArrayList<>(job.liveAttempts.values())) {
            if (!attempt.isDurable) {
                withdraw(attempt);
            }
        }
        job.markAllDirty();
        for (Job.Part part : job.allParts()) {
            if (part.revision() > 0) {
                unwritten.addChange(
                        part); // To be removed, or kept for as long as something is on machines.
            }
        }
        LOG.info("job {} over, {} attempts to end", id, job.liveAttempts.size());
        return true;
    }

    /**
     * How far those of the jobs are that are known here and not about to be cancelled for one
     * before them.
     */
    public List<JobProgress> progress(List<String> ids, double now) {
        List<JobProgress> out = new ArrayList<>();
        for (String id : ids) {
            Job job = jobs.get(id);
            if (job != null && !job.hasCancelledDependency) {
                out.add(job.progress(now, settings.workers().heartbeatIntervalSeconds(), notes));
            }
        }
        return out;
    }

    // ---- attempts -------------------------------------------------------------------------------

    void attach(Attempt attempt) {
        attempt.job.addLive(attempt);
        attempt.machine.add(attempt);
        teamUse.count(attempt.job.spec, 1);
        attempt.job.hasStoppingAttempts += attempt.isStopping() ? 1 : 0;
    }

    /**
     * Takes back a placing that is not known to be written, so was never launched. Its write may be
     * under way all the same, hence the part counts as changed.
     */
    private void withdraw(Attempt attempt) {
        teamUse.count(attempt.job.spec, -1);
        attempt.job.removeLive(attempt);
        unwritten.addChange(attempt.job.markDirty(attempt.task));
        attempt.job.hasStoppingAttempts -= attempt.isStopping() ? 1 : 0;
        attempt.machine.remove(attempt);
        changed = true;
    }

    /**
     * The attempt is proven over. It stays on the machine's list until that is written, and is
     * cleared after.
     */
    void end(Attempt attempt, EndCause cause, double now) {
        if (attempt.isEnded) {
            return;
        }
        Job job = attempt.job;
        teamUse.count(job.spec, -1);
        attempt.isEnded = true;
        attempt.state = TaskState.ENDED;
        job.removeLive(attempt);
        job.hasStoppingAttempts -= attempt.isStopping() ? 1 : 0;
        ends++;
        changed = true;
        Machine machine = attempt.machine;
        machine.remove(attempt);
        if (attempt.isDurable) {
            machine.unwritten.add(attempt);
            job.unwrittenEnds.add(attempt);
        }
        if (!machine.busy()) {
            machine.idleSince = now;
        }
        if (!job.isFinished) {
            judge(attempt, cause, now);
        }
        unwritten.addChange(job.markDirty(attempt.task));
        attempt.endedVersion = job.version();
    }

    private void judge(Attempt attempt, EndCause cause, double now) {
        Job job = attempt.job;
        Machine machine = attempt.machine;
        switch (cause == null ? EndCause.STOPPED : cause) {
            case DONE -> {
                failures.succeeded(attempt);
                if (job.spec.shape() == JobSpec.Shape.SERVICE) {
                    break;
                }
                if (job.spec.isGang()) {
                    // The tasks of a gang complete together.
                    job.doneTasks.set(0, job.spec.taskCount());
                    job.markAllDirty();
                    job.allParts().forEach(unwritten::addChange);
                } else {
                    job.doneTasks.set(attempt.task);
                }
            }
            case ERROR -> failures.failed(attempt, now);
            case INSUFFICIENT_RESOURCES, OTHER_ATTEMPT_PRESENT, UNKNOWN_TASK -> {
                LOG.info("attempt {} refused: {}", attempt, cause);
                job.notBefore = Math.max(job.notBefore, now + settings.workers().heartbeatIntervalSeconds());
            }
            default -> LOG.debug("attempt {} ended: {}", attempt, cause);
        }
        if (job.spec.isGang() && cause != EndCause.DONE) {
            if (cause == EndCause.GANG_START_TIMEOUT) {
                hasImage(attempt);
            }
            if (cause == EndCause.GANG_START_TIMEOUT
                    && fetching(job)
                    && (machine.reservedFor == null || machine.kept)) {
                machine.reserve(job, now + 3 * fetchS(job.spec) + settings.workers().gangStartTimeoutSeconds());
            }
            restartOnceFetched(job);
        }
    }

    /**
     * One task of a gang is gone: the rest can't finish, and all restart together once they are
     * proven over. Guards against a gang that never starts because its image takes longer than its
     * tasks wait for each other: those that have it give up, and if the others were stopped then,
     * what they had fetched was lost, and it began anew. So they fetch on, the room of those that
     * gave up is held, and all restart where the image is.
     */
    public void restartOnceFetched(Job job) {
        if (!job.liveAttempts.isEmpty() && job.liveAttempts.size() < job.spec.taskCount() && !fetching(job)) {
            for (Attempt other : new ArrayList<>(job.liveAttempts.values())) {
                stop(other, 0);
            }
        }
    }

    private static boolean fetching(Job job) {
        return job.liveAttempts.values().stream()
                .anyMatch(
                        attempt ->
                                attempt.isSeen
                                        && !attempt.isUnwanted()
                                        && attempt.state == TaskState.FETCHING_IMAGE);
    }

    private double fetchS(JobSpec spec) {
        double rate =
                types.values().stream()
                        .mapToDouble(MachineType::fetchGigabytesPerSecond)
                        .filter(r -> r > 0)
                        .min()
                        .orElse(1);
        return spec.imageGigabytes() / rate;
    }

    public void stop(Attempt attempt, double graceS) {
        if (attempt.isEnded) {
            return;
        }
        if (!attempt.isDurable) {
            withdraw(attempt);
            return;
        }
        if (!attempt.isStopping()) {
            attempt.job.hasStoppingAttempts++;
            attempt.stopGraceSeconds = graceS;
        }
        attempt.stopGraceSeconds = Math.min(attempt.stopGraceSeconds, graceS);
    }

    /**
     * The bytes that a record may have: as the settings say, or fewer if the store has refused one
     * of that size.
     */
    public int recordBytes() {
        return recordBytes;
    }

    public void recordsBelow(int bytes) {
        recordBytes = Math.min(recordBytes, bytes - 1);
    }

    /**
     * Whether the record of the task's part can take one more attempt; nothing may start that is
     * not on record.
     */
    public boolean recordable(Job job, int task) {
        return job.fitsRecord(task, recordBytes);
    }

    /** Whether the records of its parts can take all its tasks at once, or can't be made to. */
    public boolean recordable(Job job) {
        return job.hasPartsOfAtMost(settings.tasksPerCompactPart()) || job.allTasksFitRecords(recordBytes);
    }

    /**
     * The job's parts can't be on record as they are laid out; nothing more of it is placed until
     * they are anew.
     */
    public void tooWide(Job job) {
        wide.add(job);
        changed = true;
    }

    public List<Job> wide() {
        return List.copyOf(wide);
    }

    public void laidOut(Job job) {
        wide.remove(job);
        changed = true;
    }

    /**
     * A decision: this waiting task goes to that machine, once that is written. See {@link
     * #placedTogether}.
     */
    public void place(Job job, int task, Machine machine, double now) {
        Job.Part part = job.markPlacementDirty(task);
        unwritten.addPlacement(part);
        attach(new Attempt(job, task, job.nextAttempt, machine, now, job.version()));
        job.placementTimes.add(now);
        LOG.debug("placed {}/{}#{} on {}", job.spec.id(), task, job.nextAttempt, machine.id);
    }

    /**
     * What was placed of the job since the last call shares an attempt number; the next ones get
     * another.
     */
    public void placedTogether(Job job) {
        job.nextAttempt++;
    }

    /**
     * A worker has an attempt that nothing placed there: it counts until it is proven over, and is
     * stopped.
     */
    void strayed(Job job, int task, long number, TaskState state, Machine machine, double now) {
        LOG.error(
                "machine {} has {}/{} which was not placed there", machine.id, job.spec.id(), task);
        unwritten.addChange(job.markDirty(task));
        Attempt attempt = new Attempt(job, task, number, machine, now, job.version());
        attempt.isDurable = true;
        attempt.mayBeLaunched = true;
        attempt.isSeen = true;
        attempt.state = state;
        attempt.stopGraceSeconds = 0;
        job.nextAttempt = Math.max(job.nextAttempt, number + 1);
        attach(attempt);
    }

    // ---- machines -------------------------------------------------------------------------------

    Machine machine(String id, double now) {
        return machines.computeIfAbsent(
                id,
                key -> {
                    Machine machine = new Machine(key, now);
                    machine.releasing = going.contains(key);
                    newcomers.accept(machine);
                    return machine;
                });
    }

    /**
     * The machine is put down as one to be given back: whenever it is heard of, it takes no work
     * any more.
     */
    public void goes(String id) {
        going.add(id);
        Machine machine = machines.get(id);
        if (machine != null) {
            machine.releasing = true;
        }
    }

    /** The machine and all on it are gone for certain: released, taken, or unknown to the cloud. */
    public void machineGone(String id, double now) {
        tombstones.add(id);
        going.remove(id);
        Machine machine = machines.remove(id);
        if (machine == null) {
            return;
        }
        machine.gone = true;
        for (Attempt attempt : new ArrayList<>(machine.attempts)) {
            lose(attempt, now);
        }
        changed = true;
        LOG.info("machine {} gone", id);
    }

    /** The attempt went with its machine or its worker's session. */
    void lose(Attempt attempt, double now) {
        lost++;
        end(attempt, EndCause.STOPPED, now);
    }

    /** What the cloud says exists. A list can be old, so it never proves a machine gone. */
    public void listed(Collection<Cloud.Listed> list, double now) {
        for (Cloud.Listed listed : list) {
            if (buried(listed.machineId())) {
                continue;
            }
            boolean fresh = !machines.containsKey(listed.machineId());
            Machine machine = machine(listed.machineId(), now);
            if (fresh) {
                machine.knownSince = now - listed.heldSeconds();
            }
            machine.listed = true;
            machine.type = listed.machineType();
            machine.zone = listed.zone();
            machine.spot = listed.spot();
            if (listed.status().equals("failed")) {
                machine.releasing = true;
            }
        }
    }

    /** The cloud has rented this machine to us; its boot began at {@code since}. */
    public void rented(String id, MachineKind kind, double now, double since) {
        if (buried(id)) {
            return;
        }
        Machine machine = machine(id, now);
        if (!machine.reported()) {
            machine.rentedHere = true;
            machine.knownSince = since;
        }
        machine.type = kind.machineType();
        machine.zone = kind.zone();
        machine.spot = kind.spot();
    }

    /** Whether the machine is gone for certain, whoever still speaks of it. */
    boolean buried(String machine) {
        return tombstones.contains(machine);
    }

    void hasImage(Attempt attempt) {
        MachineType type = types.get(attempt.machine.type);
        attempt.machine.ran(
                attempt.job.spec.image(),
                attempt.job.spec.imageGigabytes(),
                type == null ? 0 : type.cacheGigabytes());
    }

    // ---- what was written -----------------------------------------------------------------------

    /** Everything about this part up to {@code version} is in the store now. */
    public void recorded(Job.Part part, int version, long revision) {
        Job job = part.job;
        part.markWritten(version, revision);
        unwritten.enqueueIfDirty(part);
        for (Attempt attempt : job.liveAttemptsInPart(part.index)) {
            if (attempt.placedVersion <= version) {
                attempt.isDurable = true;
            }
        }
        job.unwrittenEnds.removeIf(
                attempt -> {
                    boolean now =
                            job.partOf(attempt.task) == part.index
                                    && attempt.endedVersion <= version;
                    if (now) {
                        attempt.machine.unwritten.remove(attempt);
                    }
                    return now;
                });
    }

    /** The job's records are laid out anew, as of that version of it, with these parts. */
    public void relaid(Job job, JobRecord record, long revision, int version, Set<Integer> parts) {
        job.allParts().forEach(unwritten::remove); // Those that were are no more.
        job.applyMigration(record, revision);
        for (Job.Part part : job.allParts()) {
            recorded(part, version, parts.contains(part.index) ? revision : 0);
        }
        laidOut(job);
    }

    /** All the job's parts may differ from their records. */
    public void differs(Job job) {
        job.markAllDirty();
        job.allParts().forEach(unwritten::addChange);
    }

    /** A job that is over, with nothing of it left anywhere. */
    public void dropJob(Job job) {
        jobs.remove(job.spec.id());
        if (job.successCount == 0) {
            failures.acquit(job);
        }
        job.unwrittenEnds.forEach(attempt -> attempt.machine.unwritten.remove(attempt));
    }
}
