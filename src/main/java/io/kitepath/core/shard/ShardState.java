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
    private static final int MAX_TOMBSTONES = 5000;

    private final ClusterSettings settings;
    private final Map<String, MachineType> machineTypes = new LinkedHashMap<>();
    private final Map<String, MachineType> machineTypesView =
            Collections.unmodifiableMap(machineTypes);
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Job> jobsView = Collections.unmodifiableMap(jobs);
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, Machine> machinesView = Collections.unmodifiableMap(machines);
    private final FailureDiagnosis failureDiagnosis;
    private final BootTimes bootTimes;
    private final PendingReasons pendingReasons = new PendingReasons(this);

    /** Is told of every machine that becomes known. */
    private final Consumer<Machine> machineAddedListener;

    private final QuotaUsage quotaUsage;

    /** Machines that are put down as going. */
    private final Set<String> markedForRelease = new HashSet<>();

    /** Names of machines that are gone for certain; lists may show them a while longer. */
    private final Set<String> tombstones =
            Collections.newSetFromMap(
                    new LinkedHashMap<>() {
                        @Override
                        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                            return size() > MAX_TOMBSTONES;
                        }
                    });

    private final RecentArrivals recentArrivals = new RecentArrivals();
    private final StartLatencies startLatencies = new StartLatencies();
    private final DirtyParts dirtyParts = new DirtyParts();
    private final ServiceLevels serviceLevels;
    private final JobDependencies jobDependencies;

    /** Jobs whose parts are to be laid out anew. */
    private final Set<Job> jobsToMigrate = new LinkedHashSet<>();

    /** How many tasks one part of a job holds whose record does not say. */
    private int tasksPerPart;

    private int maxRecordBytes;
    private long fencingToken;
    private long attemptsEnded;
    private long attemptsLost;
    private boolean isSchedulingNeeded;
    private boolean hasBacklog;

    /** {@code newcomers} is told of every machine that becomes known. */
    public ShardState(ClusterSettings settings, Consumer<Machine> newcomers) {
        this.settings = settings;
        this.quotaUsage = new QuotaUsage(settings);
        this.machineAddedListener = newcomers;
        this.serviceLevels = new ServiceLevels(settings);
        this.failureDiagnosis = new FailureDiagnosis(settings, machines);
        this.bootTimes = new BootTimes(machineTypes);
        this.jobDependencies =
                new JobDependencies(
                        settings,
                        jobs,
                        spec -> startLatencies.upperEstimateSeconds(spec.jobClass()),
                        this::requestScheduling);
        this.tasksPerPart = settings.tasksPerPart();
        this.maxRecordBytes = settings.store().maxValueBytes();
    }

    public ClusterSettings settings() {
        return settings;
    }

    /** The machine types by name, empty until they are known. */
    public Map<String, MachineType> machineTypes() {
        return machineTypesView;
    }

    public void setMachineTypes(Collection<MachineType> all) {
        machineTypes.clear();
        all.forEach(type -> machineTypes.put(type.name(), type));
    }

    /** By id: jobs that are open, or over with something of them left. */
    public Map<String, Job> jobs() {
        return jobsView;
    }

    public Map<String, Machine> machines() {
        return machinesView;
    }

    public FailureDiagnosis failureDiagnosis() {
        return failureDiagnosis;
    }

    public BootTimes bootTimes() {
        return bootTimes;
    }

    public QuotaUsage quotaUsage() {
        return quotaUsage;
    }

    public RecentArrivals recentArrivals() {
        return recentArrivals;
    }

    public StartLatencies startLatencies() {
        return startLatencies;
    }

    /** What classes and teams got of what they asked for. */
    public ServiceLevels serviceLevels() {
        return serviceLevels;
    }

    /** Which jobs wait for which. */
    public JobDependencies jobDependencies() {
        return jobDependencies;
    }

    /** How many tasks one part of a job holds whose record does not say. */
    public int tasksPerPart() {
        return tasksPerPart;
    }

    /** What the deployment's records are laid out by, whatever the settings say by now. */
    public void setTasksPerPart(int tasks) {
        tasksPerPart = tasks;
    }

    public DirtyParts dirtyParts() {
        return dirtyParts;
    }

    public long fencingToken() {
        return fencingToken;
    }

    /**
     * Attempts proven over, and of those the ones that were lost with their machine or its session.
     */
    public long attemptsEnded() {
        return attemptsEnded;
    }

    public long attemptsLost() {
        return attemptsLost;
    }

    /** Whether something changed that may let work be placed. */
    public boolean isSchedulingNeeded() {
        return isSchedulingNeeded;
    }

    public void requestScheduling() {
        isSchedulingNeeded = true;
    }

    /** Whether work waited after the last placing. */
    public boolean hasBacklog() {
        return hasBacklog;
    }

    /** A round of placing begins: what changed until now is looked at. */
    public void beginSchedulingRound(double now) {
        isSchedulingNeeded = false;
        hasBacklog = false;
        machines.values().forEach(machine -> machine.refreshReservation(now));
    }

    /** Work waits in this round. */
    public void markBacklog() {
        hasBacklog = true;
    }

    // ---- holding ------------------------------------------------------------------------------

    /** From now on this token is ours; every machine has to report with it before it gets work. */
    public void takeLeadership(long newToken) {
        fencingToken = newToken;
        machines.values().forEach(Machine::resetTokenConfirmation);
    }

    /** Held by somebody else: what this node knew may be wrong from now on. */
    public void giveUpLeadership() {
        clearJobs();
        machines.clear();
        markedForRelease.clear();
    }

    // ---- jobs -----------------------------------------------------------------------------------

    public void clearJobs() {
        jobs.clear();
        quotaUsage.clear();
        dirtyParts.clear();
        serviceLevels.clear();
        jobDependencies.clear();
        jobsToMigrate.clear();
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
        isSchedulingNeeded = true;
        recentArrivals.add(job);
        serviceLevels.recordArrival(job.spec);
        if (!job.isFinished) {
            jobDependencies.jobOpened(job);
        }
    }

    /**
     * A job that is over and has records of its tasks left: something of it may still be on
     * machines.
     */
    public void addFinishedJob(Job job) {
        job.isFinished = true;
        addJob(job);
    }

    /**
     * Takes over what a part's record says is done and what is, or may be, on machines.
     *
     * @throws io.kitepath.core.model.InvalidInputException if the record is not one of a part
     */
    public void restorePart(Job job, int part, Object record, long revision, double now) {
        for (Map.Entry<?, ?> e : job.readPart(part, record, revision).entrySet()) {
            Machine machine = getOrAddMachine((String) e.getKey(), now);
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
                addAttempt(attempt);
                job.nextAttempt = Math.max(job.nextAttempt, attempt.number + 1);
            }
        }
        jobDependencies.jobStarted(job);
        if (job.isFinished) {
            dirtyParts.enqueueIfDirty(job.markPartDirty(part));
        }
    }

    /**
     * The job is done or cancelled in the store; whatever of it is still on machines has to go.
     * Returns whether that is news here.
     */
    public boolean finishJob(String id) {
        Job job = jobs.get(id);
        if (job == null || job.isFinished) {
            return false;
        }
        job.isFinished = true;
        isSchedulingNeeded = true;
        jobDependencies.jobClosed(job);
        for (Attempt attempt : new ArrayList<>(job.liveAttempts.values())) {
            if (!attempt.isDurable) {
                withdrawPlacement(attempt);
            }
        }
        job.markAllDirty();
        for (JobPart part : job.allParts()) {
            if (part.revision() > 0) {
                dirtyParts.addChange(
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
                out.add(
                        job.progress(
                                now,
                                settings.workers().heartbeatIntervalSeconds(),
                                pendingReasons));
            }
        }
        return out;
    }

    // ---- attempts -------------------------------------------------------------------------------

    void addAttempt(Attempt attempt) {
        attempt.job.addLive(attempt);
        attempt.machine.addAttempt(attempt);
        quotaUsage.countAttempt(attempt.job.spec, 1);
        attempt.job.stoppingAttemptCount += attempt.isStopping() ? 1 : 0;
    }

    /**
     * Takes back a placing that is not known to be written, so was never launched. Its write may be
     * under way all the same, hence the part counts as changed.
     */
    private void withdrawPlacement(Attempt attempt) {
        quotaUsage.countAttempt(attempt.job.spec, -1);
        attempt.job.removeLive(attempt);
        dirtyParts.addChange(attempt.job.markDirty(attempt.task));
        attempt.job.stoppingAttemptCount -= attempt.isStopping() ? 1 : 0;
        attempt.machine.removeAttempt(attempt);
        isSchedulingNeeded = true;
    }

    /**
     * The attempt is proven over. It stays on the machine's list until that is written, and is
     * cleared after.
     */
    void endAttempt(Attempt attempt, EndCause cause, double now) {
        if (attempt.isEnded) {
            return;
        }
        Job job = attempt.job;
        quotaUsage.countAttempt(job.spec, -1);
        attempt.isEnded = true;
        attempt.state = TaskState.ENDED;
        job.removeLive(attempt);
        job.stoppingAttemptCount -= attempt.isStopping() ? 1 : 0;
        attemptsEnded++;
        isSchedulingNeeded = true;
        Machine machine = attempt.machine;
        machine.removeAttempt(attempt);
        if (attempt.isDurable) {
            machine.unwrittenEnds.add(attempt);
            job.unwrittenEnds.add(attempt);
        }
        if (!machine.isBusy()) {
            machine.idleSince = now;
        }
        if (!job.isFinished) {
            applyEndCause(attempt, cause, now);
        }
        dirtyParts.addChange(job.markDirty(attempt.task));
        attempt.endedVersion = job.version();
    }

    private void applyEndCause(Attempt attempt, EndCause cause, double now) {
        Job job = attempt.job;
        Machine machine = attempt.machine;
        switch (cause == null ? EndCause.STOPPED : cause) {
            case DONE -> {
                failureDiagnosis.recordSuccess(attempt);
                if (job.spec.shape() == JobSpec.Shape.SERVICE) {
                    break;
                }
                if (job.spec.isGang()) {
                    // The tasks of a gang complete together.
                    job.markAllDone();
                    job.markAllDirty();
                    job.allParts().forEach(dirtyParts::addChange);
                } else {
                    job.markDone(attempt.task);
                }
            }
            case ERROR -> failureDiagnosis.recordFailure(attempt, now);
            case INSUFFICIENT_RESOURCES, OTHER_ATTEMPT_PRESENT, UNKNOWN_TASK -> {
                LOG.info("attempt {} refused: {}", attempt, cause);
                job.notBefore =
                        Math.max(
                                job.notBefore, now + settings.workers().heartbeatIntervalSeconds());
            }
            default -> LOG.debug("attempt {} ended: {}", attempt, cause);
        }
        if (job.spec.isGang() && cause != EndCause.DONE) {
            if (cause == EndCause.GANG_START_TIMEOUT) {
                recordImageUse(attempt);
            }
            if (cause == EndCause.GANG_START_TIMEOUT
                    && isFetchingImages(job)
                    && (machine.reservedFor == null || machine.isBackfillAllowed)) {
                machine.reserve(
                        job,
                        now
                                + 3 * imageFetchSeconds(job.spec)
                                + settings.workers().gangStartTimeoutSeconds());
            }
            restartGangOnceImagesFetched(job);
        }
    }

    /**
     * One task of a gang is gone: the rest can't finish, and all restart together once they are
     * proven over. Guards against a gang that never starts because its image takes longer than its
     * tasks wait for each other: those that have it give up, and if the others were stopped then,
     * what they had fetched was lost, and it began anew. So they fetch on, the room of those that
     * gave up is held, and all restart where the image is.
     */
    public void restartGangOnceImagesFetched(Job job) {
        if (!job.liveAttempts.isEmpty()
                && job.liveAttempts.size() < job.spec.taskCount()
                && !isFetchingImages(job)) {
            for (Attempt other : new ArrayList<>(job.liveAttempts.values())) {
                stopAttempt(other, 0);
            }
        }
    }

    private static boolean isFetchingImages(Job job) {
        return job.liveAttempts.values().stream()
                .anyMatch(
                        attempt ->
                                attempt.isSeen
                                        && !attempt.isUnwanted()
                                        && attempt.state == TaskState.FETCHING_IMAGE);
    }

    private double imageFetchSeconds(JobSpec spec) {
        double rate =
                machineTypes.values().stream()
                        .mapToDouble(MachineType::fetchGigabytesPerSecond)
                        .filter(r -> r > 0)
                        .min()
                        .orElse(1);
        return spec.imageGigabytes() / rate;
    }

    public void stopAttempt(Attempt attempt, double graceS) {
        if (attempt.isEnded) {
            return;
        }
        if (!attempt.isDurable) {
            withdrawPlacement(attempt);
            return;
        }
        if (!attempt.isStopping()) {
            attempt.job.stoppingAttemptCount++;
            attempt.stopGraceSeconds = graceS;
        }
        attempt.stopGraceSeconds = Math.min(attempt.stopGraceSeconds, graceS);
    }

    /**
     * The bytes that a record may have: as the settings say, or fewer if the store has refused one
     * of that size.
     */
    public int maxRecordBytes() {
        return maxRecordBytes;
    }

    public void lowerMaxRecordBytes(int bytes) {
        maxRecordBytes = Math.min(maxRecordBytes, bytes - 1);
    }

    /**
     * Whether the record of the task's part can take one more attempt; nothing may start that is
     * not on record.
     */
    public boolean fitsRecord(Job job, int task) {
        return job.fitsRecord(task, maxRecordBytes);
    }

    /** Whether the records of its parts can take all its tasks at once, or can't be made to. */
    public boolean fitsRecord(Job job) {
        return job.hasPartsOfAtMost(settings.tasksPerCompactPart())
                || job.allTasksFitRecords(maxRecordBytes);
    }

    /**
     * The job's parts can't be on record as they are laid out; nothing more of it is placed until
     * they are anew.
     */
    public void requestMigration(Job job) {
        jobsToMigrate.add(job);
        isSchedulingNeeded = true;
    }

    public List<Job> jobsToMigrate() {
        return List.copyOf(jobsToMigrate);
    }

    public void migrationDone(Job job) {
        jobsToMigrate.remove(job);
        isSchedulingNeeded = true;
    }

    /**
     * A decision: this waiting task goes to that machine, once that is written. See {@link
     * #placedTogether}.
     */
    public void place(Job job, int task, Machine machine, double now) {
        JobPart part = job.markPlacementDirty(task);
        dirtyParts.addPlacement(part);
        addAttempt(new Attempt(job, task, job.nextAttempt, machine, now, job.version()));
        job.placementTimes.add(now);
        LOG.debug("placed {}/{}#{} on {}", job.spec.id(), task, job.nextAttempt, machine.id);
    }

    /**
     * What was placed of the job since the last call shares an attempt number; the next ones get
     * another.
     */
    public void advanceAttemptNumber(Job job) {
        job.nextAttempt++;
    }

    /**
     * A worker has an attempt that nothing placed there: it counts until it is proven over, and is
     * stopped.
     */
    void addUnexpectedAttempt(
            Job job, int task, long number, TaskState state, Machine machine, double now) {
        LOG.error(
                "machine {} has {}/{} which was not placed there", machine.id, job.spec.id(), task);
        dirtyParts.addChange(job.markDirty(task));
        Attempt attempt = new Attempt(job, task, number, machine, now, job.version());
        attempt.isDurable = true;
        attempt.mayBeLaunched = true;
        attempt.isSeen = true;
        attempt.state = state;
        attempt.stopGraceSeconds = 0;
        job.nextAttempt = Math.max(job.nextAttempt, number + 1);
        addAttempt(attempt);
    }

    // ---- machines -------------------------------------------------------------------------------

    Machine getOrAddMachine(String id, double now) {
        return machines.computeIfAbsent(
                id,
                key -> {
                    Machine machine = new Machine(key, now);
                    machine.isReleasing = markedForRelease.contains(key);
                    machineAddedListener.accept(machine);
                    return machine;
                });
    }

    /**
     * The machine is put down as one to be given back: whenever it is heard of, it takes no work
     * any more.
     */
    public void markForRelease(String id) {
        markedForRelease.add(id);
        Machine machine = machines.get(id);
        if (machine != null) {
            machine.isReleasing = true;
        }
    }

    /** The machine and all on it are gone for certain: released, taken, or unknown to the cloud. */
    public void removeMachine(String id, double now) {
        tombstones.add(id);
        markedForRelease.remove(id);
        Machine machine = machines.remove(id);
        if (machine == null) {
            return;
        }
        machine.isGone = true;
        for (Attempt attempt : new ArrayList<>(machine.attempts)) {
            loseAttempt(attempt, now);
        }
        isSchedulingNeeded = true;
        LOG.info("machine {} gone", id);
    }

    /** The attempt went with its machine or its worker's session. */
    void loseAttempt(Attempt attempt, double now) {
        attemptsLost++;
        endAttempt(attempt, EndCause.STOPPED, now);
    }

    /** What the cloud says exists. A list can be old, so it never proves a machine gone. */
    public void applyCloudList(Collection<Cloud.ListedMachine> list, double now) {
        for (Cloud.ListedMachine listed : list) {
            if (isKnownGone(listed.machineId())) {
                continue;
            }
            boolean fresh = !machines.containsKey(listed.machineId());
            Machine machine = getOrAddMachine(listed.machineId(), now);
            if (fresh) {
                machine.knownSince = now - listed.heldSeconds();
            }
            machine.isListed = true;
            machine.type = listed.machineType();
            machine.zone = listed.zone();
            machine.isSpot = listed.spot();
            if (listed.status().equals("failed")) {
                machine.isReleasing = true;
            }
        }
    }

    /** The cloud has rented this machine to us; its boot began at {@code since}. */
    public void addRentedMachine(String id, MachineKind kind, double now, double since) {
        if (isKnownGone(id)) {
            return;
        }
        Machine machine = getOrAddMachine(id, now);
        if (!machine.hasReported()) {
            machine.isBootStartKnown = true;
            machine.knownSince = since;
        }
        machine.type = kind.machineType();
        machine.zone = kind.zone();
        machine.isSpot = kind.spot();
    }

    /** Whether the machine is gone for certain, whoever still speaks of it. */
    boolean isKnownGone(String machine) {
        return tombstones.contains(machine);
    }

    void recordImageUse(Attempt attempt) {
        MachineType type = machineTypes.get(attempt.machine.type);
        attempt.machine.recordImageUse(
                attempt.job.spec.image(),
                attempt.job.spec.imageGigabytes(),
                type == null ? 0 : type.cacheGigabytes());
    }

    // ---- what was written -----------------------------------------------------------------------

    /** Everything about this part up to {@code version} is in the store now. */
    public void markPartWritten(JobPart part, int version, long revision) {
        Job job = part.job;
        part.markWritten(version, revision);
        dirtyParts.enqueueIfDirty(part);
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
                        attempt.machine.unwrittenEnds.remove(attempt);
                    }
                    return now;
                });
    }

    /** The job's records are laid out anew, as of that version of it, with these parts. */
    public void applyMigration(
            Job job, JobRecord record, long revision, int version, Set<Integer> parts) {
        job.allParts().forEach(dirtyParts::remove); // Those that were are no more.
        job.applyMigration(record, revision);
        for (JobPart part : job.allParts()) {
            markPartWritten(part, version, parts.contains(part.index) ? revision : 0);
        }
        migrationDone(job);
    }

    /** All the job's parts may differ from their records. */
    public void markAllPartsDirty(Job job) {
        job.markAllDirty();
        job.allParts().forEach(dirtyParts::addChange);
    }

    /** A job that is over, with nothing of it left anywhere. */
    public void removeJob(Job job) {
        jobs.remove(job.spec.id());
        if (job.successCount == 0) {
            failureDiagnosis.clearBlame(job);
        }
        job.unwrittenEnds.forEach(attempt -> attempt.machine.unwrittenEnds.remove(attempt));
    }
}
