package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.JobSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks which share of the jobs of each class, of its largest jobs, and of each team met their
 * goal: completed within the longest time that their service-level objectives, or their deadline,
 * allow. Guards against an overload in which as many jobs as possible meet their goals, but all
 * jobs that miss them belong to one class or one team: to its users, a class of which less than
 * half is served has an outage, however well the other classes do.
 *
 * <p>Decided jobs alone show this too late: for a class whose jobs have only minutes, the first
 * misses are counted only when many other jobs can no longer meet their goals. Therefore jobs that
 * have used most of the time for which they may wait, and still wait, count as if they had missed
 * their goal; see {@link ServiceGroup#goalsMetShare}.
 *
 * <p>Not thread-safe; belongs to the shard's thread. Times of day are milliseconds since 1970.
 */
public final class ServiceLevels {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceLevels.class);

    /**
     * The share below which a class or team is lagging; it lies above one half, below which the
     * share must never fall. Jobs at risk may still meet their goal, so the final share is higher
     * than this one.
     */
    public static final double LAGGING_BELOW = 0.55;

    /** The share from which a lagging class or team is no longer lagging. */
    private static final double RECOVERED_FROM = 0.6;

    /**
     * Factor by which the weight of earlier jobs decreases with each decided job; about the last
     * 256 jobs count.
     */
    private static final double DECAY = 1 - 1.0 / 256;

    /** Minimum weight, in jobs, for a share to be meaningful. */
    private static final double MIN_WEIGHT = 8;

    /**
     * Fraction of the time that a job may wait while still meeting its goal after which a waiting
     * job counts as at risk.
     */
    private static final double AT_RISK_FRACTION = 0.6;

    /** Fraction of the maximum size of a stored value that each kind of groups may take. */
    private static final double RECORD_FRACTION = 0.3;

    private static final double MILLIS_PER_SECOND = 1000;

    /**
     * The counts of one class, of the largest jobs of one class, or of one team. Counts are of
     * jobs.
     */
    public static final class ServiceGroup {
        /**
         * Number of values in a record: the counts of goals met, of completed jobs and of goals
         * missed, and two decayed sums.
         */
        private static final int RECORD_NUMBERS = 5;

        /** Decayed sums are stored as integers, multiplied by this factor. */
        private static final int RECORD_SCALE = 1000;

        private final String name;
        private long undecided;
        private long atRisk;

        /** Number of open jobs that have not missed their goal and whose tasks are all placed. */
        private long fullyPlaced;

        private long goalsMet;
        private long completed;
        private long goalsMissed;

        /**
         * Number of decided jobs, with the older ones weighted less; {@code decayedGoalsMet} counts
         * those that met their goal.
         */
        private double decayedDecided;

        private double decayedGoalsMet;
        private boolean lagging;

        ServiceGroup(String name) {
            this.name = name;
        }

        /** Number of jobs that are decided or open. */
        public long submitted() {
            return decided() + undecided;
        }

        /** Number of jobs that met or missed their goal. */
        long decided() {
            return goalsMet + goalsMissed;
        }

        /**
         * Number of open jobs at risk: unlikely to meet their goal unless other jobs are deferred
         * for them.
         */
        public long atRisk() {
            return atRisk;
        }

        /** Number of jobs that met their goal. */
        public long goalsMet() {
            return goalsMet;
        }

        /** Number of completed jobs, whether or not they met their goal. */
        public long completed() {
            return completed;
        }

        /** Number of jobs that missed their goal, whether or not they were completed later. */
        public long goalsMissed() {
            return goalsMissed;
        }

        /**
         * The share of jobs that met, or will probably meet, their goal among the recently decided
         * jobs, the open jobs whose tasks are all placed, and the jobs at risk; 1 while there are
         * none.
         */
        public double goalsMetShare() {
            return weight() == 0 ? 1 : (decayedGoalsMet + fullyPlaced) / weight();
        }

        private double weight() {
            return decayedDecided + fullyPlaced + atRisk;
        }

        /** The share if the group is lagging, otherwise 1. */
        double catchUpShare() {
            return lagging ? goalsMetShare() : 1;
        }

        private void resetOpen() {
            undecided = 0;
            atRisk = 0;
            fullyPlaced = 0;
        }

        private void countOpen(boolean isWaiting, boolean isAtRisk) {
            undecided++;
            atRisk += isAtRisk ? 1 : 0;
            fullyPlaced += isWaiting ? 0 : 1;
        }

        private void recordDone() {
            completed++;
        }

        private void recordDecision(boolean hasMetGoal) {
            decayedGoalsMet = decayedGoalsMet * DECAY + (hasMetGoal ? 1 : 0);
            decayedDecided = decayedDecided * DECAY + 1;
            goalsMet += hasMetGoal ? 1 : 0;
            goalsMissed += hasMetGoal ? 0 : 1;
        }

        private void updateLagging() {
            boolean isLagging =
                    weight() >= MIN_WEIGHT
                            && goalsMetShare() < (lagging ? RECOVERED_FROM : LAGGING_BELOW);
            if (isLagging != lagging) {
                lagging = isLagging;
                LOG.warn(
                        "service level changed: group=\"{}\" status={} goalsMet={} decided={}"
                                + " atRisk={} open={}",
                        name,
                        isLagging ? "lagging" : "recovered",
                        goalsMet,
                        decided(),
                        atRisk,
                        undecided);
            }
        }

        /**
         * Returns the counts of goals met, of completed jobs and of goals missed, and the decayed
         * sums in thousandths.
         */
        List<Long> toRecord() {
            return List.of(
                    goalsMet,
                    completed,
                    goalsMissed,
                    Math.round(RECORD_SCALE * decayedGoalsMet),
                    Math.round(RECORD_SCALE * decayedDecided));
        }

        /** Whether the value has the form that {@link #toRecord} writes. */
        static boolean isRecord(Object value) {
            return value instanceof List<?> numbers
                    && numbers.size() == RECORD_NUMBERS
                    && numbers.stream().allMatch(Number.class::isInstance);
        }

        /** Restores the counts that {@link #toRecord} wrote. */
        void restore(List<?> numbers) {
            goalsMet = ((Number) numbers.get(0)).longValue();
            completed = ((Number) numbers.get(1)).longValue();
            goalsMissed = ((Number) numbers.get(2)).longValue();
            decayedGoalsMet = ((Number) numbers.get(3)).doubleValue() / RECORD_SCALE;
            decayedDecided = ((Number) numbers.get(4)).doubleValue() / RECORD_SCALE;
        }

        private String summary() {
            return String.format(
                    Locale.ROOT,
                    " group=\"%s\" goalsMet=%d decided=%d open=%d atRisk=%d;",
                    name,
                    goalsMet,
                    decided(),
                    undecided,
                    atRisk);
        }
    }

    private final ClusterSettings settings;
    private final ServiceGroups classes = new ServiceGroups("class");
    private final ServiceGroups teams = new ServiceGroups("team");

    /**
     * The largest jobs of each class. They are counted separately because they may miss their goals
     * while the class as a whole does well.
     */
    private final ServiceGroups largestJobs = new ServiceGroups("largest of");

    private final JobSizes jobSizes = new JobSizes();

    /** Time of day up to which missed goals were already counted by an earlier leader. */
    private double countedUntilMillis;

    ServiceLevels(ClusterSettings settings) {
        this.settings = settings;
    }

    void clear() {
        classes.clear();
        teams.clear();
        largestJobs.clear();
        countedUntilMillis = 0;
    }

    // ---- counting -----------------------------------------------------------------------------

    private void forEachGroup(JobSpec spec, Consumer<ServiceGroup> action) {
        classes.getOrAdd(spec.jobClass()).ifPresent(action);
        teams.getOrAdd(spec.team()).ifPresent(action);
        if (isLargest(spec)) {
            largestJobs.getOrAdd(spec.jobClass()).ifPresent(action);
        }
    }

    private List<ServiceGroup> allGroups() {
        List<ServiceGroup> all = new ArrayList<>(classes.all());
        all.addAll(teams.all());
        all.addAll(largestJobs.all());
        return all;
    }

    /** Records the arrival of a job. */
    void recordArrival(JobSpec spec) {
        jobSizes.add(spec);
    }

    /**
     * Whether the job is one of the largest of its class, compared with the jobs that arrived
     * recently.
     */
    public boolean isLargest(JobSpec spec) {
        return jobSizes.isAmongLargest(spec);
    }

    /**
     * Updates the counts of open jobs from all jobs. Jobs that have passed the longest time allowed
     * for them are counted as missed now, regardless of when they complete.
     *
     * @param startLatencySeconds how long jobs like the given one take from placement to running,
     *     in seconds
     */
    public void update(
            Collection<Job> jobs,
            ToDoubleFunction<JobSpec> startLatencySeconds,
            double wallMillis) {
        allGroups().forEach(ServiceGroup::resetOpen);
        for (Job job : jobs) {
            // A job that waits for its dependencies has no demand yet.
            if (!job.isFinished && !job.isBorrowed && !job.isHeld()) {
                countOpenJob(job, startLatencySeconds, wallMillis);
            }
        }
        allGroups().forEach(ServiceGroup::updateLagging);
    }

    private void countOpenJob(
            Job job, ToDoubleFunction<JobSpec> startLatencySeconds, double wallMillis) {
        double goalSeconds = settings.latestUsefulCompletionSeconds(job.spec, job.heldSeconds());
        recordIfMissed(job, goalSeconds, wallMillis);
        if (job.hasMissedAllGoals) {
            return;
        }
        double maxWaitSeconds =
                goalSeconds
                        - job.heldSeconds()
                        - job.spec.estimatedSeconds()
                        - startLatencySeconds.applyAsDouble(job.spec);
        boolean isWaiting = job.waitingTasks() > 0;
        boolean isAtRisk =
                isWaiting
                        && wallMillis
                                > job.eligibleSinceMillis()
                                        + MILLIS_PER_SECOND * AT_RISK_FRACTION * maxWaitSeconds;
        forEachGroup(job.spec, group -> group.countOpen(isWaiting, isAtRisk));
    }

    private void recordIfMissed(Job job, double goalSeconds, double wallMillis) {
        double goalMillis = job.submittedMillis + MILLIS_PER_SECOND * goalSeconds;
        if (!job.hasMissedAllGoals && wallMillis > goalMillis) {
            job.hasMissedAllGoals = true;
            if (goalMillis > countedUntilMillis) {
                forEachGroup(job.spec, group -> group.recordDecision(false));
            }
        }
    }

    /** Records that the completion of the job is committed to the store. */
    public void recordDone(Job job, double wallMillis) {
        recordIfMissed(
                job,
                settings.latestUsefulCompletionSeconds(job.spec, job.heldSeconds()),
                wallMillis);
        forEachGroup(job.spec, ServiceGroup::recordDone);
        if (!job.hasMissedAllGoals) {
            forEachGroup(job.spec, group -> group.recordDecision(true));
        }
    }

    // ---- shares -------------------------------------------------------------------------------

    /**
     * Returns the lowest share of those groups of the job that are lagging: its class, the largest
     * jobs of its class, and its team. Other jobs of the same priority are deferred in favor of a
     * job with a low share. Returns 1 if none of the groups is lagging.
     */
    public double catchUpShare(JobSpec spec) {
        double ofLargest = isLargest(spec) ? largestJobs.catchUpShare(spec.jobClass()) : 1;
        double ofClassAndTeam =
                Math.min(classes.catchUpShare(spec.jobClass()), teams.catchUpShare(spec.team()));
        return Math.min(ofLargest, ofClassAndTeam);
    }

    /** Returns the lowest share of all classes, their largest jobs, and teams. */
    public double lowestShare() {
        return Math.min(
                largestJobs.lowestShare(), Math.min(classes.lowestShare(), teams.lowestShare()));
    }

    /** The classes: a copy by name, for operators. */
    public Map<String, ServiceGroup> classes() {
        return classes.byName();
    }

    /** The teams: a copy by name, for operators. */
    public Map<String, ServiceGroup> teams() {
        return teams.byName();
    }

    /** The largest jobs of each class: a copy by the class's name, for operators. */
    public Map<String, ServiceGroup> largestJobs() {
        return largestJobs.byName();
    }

    /**
     * Returns a summary for the log: for each group, how many of the decided jobs met their goal,
     * and how many are open and at risk.
     */
    public String summary() {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "service levels: lowestClassShare=%.2f lowestTeamShare=%.2f"
                                        + " lowestLargestJobsShare=%.2f;",
                                classes.lowestShare(),
                                teams.lowestShare(),
                                largestJobs.lowestShare()));
        allGroups().forEach(group -> text.append(group.summary()));
        return text.toString();
    }

    // ---- record for the next leader -----------------------------------------------------------

    /**
     * Returns the counts that the next leader needs, as a document for the store. Guards against
     * counts that start from zero with each leader: with many failovers, no group would ever be
     * lagging. Contains the groups with the most decided jobs, as many as a value may hold.
     */
    public Map<String, Object> toRecord(double wallMillis) {
        double maxBytes = settings.store().maxValueBytes() * RECORD_FRACTION;
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("untilMs", wallMillis);
        record.put("classes", classes.toRecord(maxBytes));
        record.put("teams", teams.toRecord(maxBytes));
        record.put("largest", largestJobs.toRecord(maxBytes));
        return record;
    }

    /**
     * Restores the counts of an earlier leader.
     *
     * @throws io.kitepath.core.model.InvalidInputException if the document is not such a record
     */
    public void restore(Object record) {
        DocumentReader document = DocumentReader.of(record);
        countedUntilMillis = document.number("untilMs", 0);
        classes.restore(document.raw("classes"));
        teams.restore(document.raw("teams"));
        largestJobs.restore(document.raw("largest"));
    }
}
