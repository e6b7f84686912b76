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
 * How much of what each class, its largest jobs, and each team asked for was served in time: done
 * within the most generous time that its service-level objectives, or its deadline, expect. Guards
 * against an overload in which the number of jobs in time is as large as can be, and all that go
 * without are of one class or one team: a class of which less than half is served counts as an
 * outage to its users, however well the others do.
 *
 * <p>Decided jobs alone show that too late: of a class whose jobs have minutes, the first misses
 * are counted when many others can't be in time any more. So jobs that have used most of the time
 * in which they may wait, and still do, count as if they had been missed; see {@link
 * ServiceGroup#share}.
 *
 * <p>Not thread-safe; belongs to the shard's thread. Times of day are milliseconds since 1970.
 */
public final class ServiceLevels {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceLevels.class);

    /**
     * The share below which a class or team is behind, above the half that it must never fall
     * under. What is endangered may still be served, so the share that comes of it is higher.
     */
    public static final double BEHIND_BELOW = 0.55;

    /** The share from which on a class or team that was behind has caught up. */
    private static final double CAUGHT_UP_FROM = 0.6;

    /**
     * How much an older job counts for each one decided after it: what counts is about the last
     * 256.
     */
    private static final double DECAY = 1 - 1.0 / 256;

    /** Jobs from which on a share says something. */
    private static final double MIN_WEIGHT = 8;

    /**
     * Of the time that a job may wait and still be in time, the part after which it counts as
     * endangered.
     */
    private static final double ENDANGERED_FRACTION = 0.6;

    /** Of the bytes of a stored value, the part that each kind of groups may take. */
    private static final double RECORD_FRACTION = 0.3;

    private static final double MILLIS_PER_SECOND = 1000;

    /** One class, the largest jobs of one class, or one team. Counts are of jobs. */
    public static final class ServiceGroup {
        /** Numbers in a record: those in time, done and missed, and two decayed sums. */
        private static final int RECORD_NUMBERS = 5;

        /** Decayed sums are stored as whole numbers of that fraction. */
        private static final int RECORD_SCALE = 1000;

        private final String name;
        private long undecided;
        private long endangered;

        /** Open, in time so far, and all placed. */
        private long fullyPlaced;

        private long inTime;
        private long done;
        private long missed;

        /** Jobs decided, the older ones counting less, and of those the ones that were in time. */
        private double decayedDecided;

        private double decayedInTime;
        private boolean behind;

        ServiceGroup(String name) {
            this.name = name;
        }

        /** Decided, or open now. */
        public long submitted() {
            return decided() + undecided;
        }

        /** In time or missed. */
        long decided() {
            return inTime + missed;
        }

        /** Open, and not likely to be in time any more unless others go without for them. */
        public long endangered() {
            return endangered;
        }

        /** Done within what is expected. */
        public long inTime() {
            return inTime;
        }

        /** Done at all. */
        public long done() {
            return done;
        }

        /** Past all that was expected, whether or not they were done later. */
        public long missed() {
            return missed;
        }

        /**
         * Of the jobs decided lately, those that are all placed and those endangered now, what was
         * served or probably will be; 1 while there are none.
         */
        public double share() {
            return weight() == 0 ? 1 : (decayedInTime + fullyPlaced) / weight();
        }

        private double weight() {
            return decayedDecided + fullyPlaced + endangered;
        }

        /** 1, or the share of a group that is behind. */
        double catchUpShare() {
            return behind ? share() : 1;
        }

        private void resetOpen() {
            undecided = 0;
            endangered = 0;
            fullyPlaced = 0;
        }

        private void countOpen(boolean isWaiting, boolean isEndangered) {
            undecided++;
            endangered += isEndangered ? 1 : 0;
            fullyPlaced += isWaiting ? 0 : 1;
        }

        private void recordDone() {
            done++;
        }

        private void recordDecision(boolean wasInTime) {
            decayedInTime = decayedInTime * DECAY + (wasInTime ? 1 : 0);
            decayedDecided = decayedDecided * DECAY + 1;
            inTime += wasInTime ? 1 : 0;
            missed += wasInTime ? 0 : 1;
        }

        private void updateBehind() {
            boolean isBehind =
                    weight() >= MIN_WEIGHT && share() < (behind ? CAUGHT_UP_FROM : BEHIND_BELOW);
            if (isBehind != behind) {
                behind = isBehind;
                LOG.warn(
                        "{} {}: {} of {} jobs decided were served in time, {} endangered of {} open",
                        name,
                        isBehind ? "is behind" : "has caught up",
                        inTime,
                        decided(),
                        endangered,
                        undecided);
            }
        }

        /** Those in time, done and missed, and the decayed sums in thousandths. */
        List<Long> toRecord() {
            return List.of(
                    inTime,
                    done,
                    missed,
                    Math.round(RECORD_SCALE * decayedInTime),
                    Math.round(RECORD_SCALE * decayedDecided));
        }

        /** Whether {@link #toRecord} may have written that. */
        static boolean isRecord(Object value) {
            return value instanceof List<?> numbers
                    && numbers.size() == RECORD_NUMBERS
                    && numbers.stream().allMatch(Number.class::isInstance);
        }

        /** Takes over what {@link #toRecord} wrote. */
        void restore(List<?> numbers) {
            inTime = ((Number) numbers.get(0)).longValue();
            done = ((Number) numbers.get(1)).longValue();
            missed = ((Number) numbers.get(2)).longValue();
            decayedInTime = ((Number) numbers.get(3)).doubleValue() / RECORD_SCALE;
            decayedDecided = ((Number) numbers.get(4)).doubleValue() / RECORD_SCALE;
        }

        private String summary() {
            return String.format(
                    Locale.ROOT,
                    " %s %d of %d, %d open, %d endangered;",
                    name,
                    inTime,
                    decided(),
                    undecided,
                    endangered);
        }
    }

    private final ClusterSettings settings;
    private final ServiceGroups classes = new ServiceGroups("class");
    private final ServiceGroups teams = new ServiceGroups("team");

    /**
     * By class, its largest jobs alone: of a class that is served well, they may be the ones that
     * go without.
     */
    private final ServiceGroups largest = new ServiceGroups("largest of");

    private final JobSizes sizes = new JobSizes();

    /** What was missed up to then, by the time of day, has been counted by an earlier leader. */
    private double countedUntilMillis;

    ServiceLevels(ClusterSettings settings) {
        this.settings = settings;
    }

    void clear() {
        classes.clear();
        teams.clear();
        largest.clear();
        countedUntilMillis = 0;
    }

    // ---- counting -----------------------------------------------------------------------------

    private void forEachGroup(JobSpec spec, Consumer<ServiceGroup> action) {
        classes.getOrAdd(spec.jobClass()).ifPresent(action);
        teams.getOrAdd(spec.team()).ifPresent(action);
        if (isLargest(spec)) {
            largest.getOrAdd(spec.jobClass()).ifPresent(action);
        }
    }

    private List<ServiceGroup> allGroups() {
        List<ServiceGroup> all = new ArrayList<>(classes.all());
        all.addAll(teams.all());
        all.addAll(largest.all());
        return all;
    }

    /** A job has become known. */
    void recordArrival(JobSpec spec) {
        sizes.add(spec);
    }

    /** Whether the job is one of the largest of its class, by those that came lately. */
    public boolean isLargest(JobSpec spec) {
        return sizes.isAmongLargest(spec);
    }

    /**
     * Looks at all jobs there are. Those that are past all that was expected of them are decided
     * now, whenever they will be done.
     *
     * @param startLatencySeconds how long jobs of a kind take from placement to running
     */
    public void update(
            Collection<Job> jobs,
            ToDoubleFunction<JobSpec> startLatencySeconds,
            double wallMillis) {
        allGroups().forEach(ServiceGroup::resetOpen);
        for (Job job : jobs) {
            // One that waits for others asks for nothing yet.
            if (!job.isFinished && !job.isBorrowed && !job.isHeld()) {
                updateOpen(job, startLatencySeconds, wallMillis);
            }
        }
        allGroups().forEach(ServiceGroup::updateBehind);
    }

    private void updateOpen(
            Job job, ToDoubleFunction<JobSpec> startLatencySeconds, double wallMillis) {
        double withinSeconds = settings.latestUsefulCompletionSeconds(job.spec, job.heldSeconds());
        recordIfMissed(job, withinSeconds, wallMillis);
        if (job.hasMissedAllGoals) {
            return;
        }
        double mayWaitSeconds =
                withinSeconds
                        - job.heldSeconds()
                        - job.spec.estimatedSeconds()
                        - startLatencySeconds.applyAsDouble(job.spec);
        boolean isWaiting = job.waitingTasks() > 0;
        boolean isEndangered =
                isWaiting
                        && wallMillis
                                > job.eligibleSinceMillis()
                                        + MILLIS_PER_SECOND * ENDANGERED_FRACTION * mayWaitSeconds;
        forEachGroup(job.spec, group -> group.countOpen(isWaiting, isEndangered));
    }

    private void recordIfMissed(Job job, double withinSeconds, double wallMillis) {
        double untilMillis = job.submittedMillis + MILLIS_PER_SECOND * withinSeconds;
        if (!job.hasMissedAllGoals && wallMillis > untilMillis) {
            job.hasMissedAllGoals = true;
            if (untilMillis > countedUntilMillis) {
                forEachGroup(job.spec, group -> group.recordDecision(false));
            }
        }
    }

    /** The store has it that the job is done. */
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
     * 1, or the lowest share of the job's class, its largest jobs, and its team, if that is so low
     * that others of its rank go without before it.
     */
    public double catchUpShare(JobSpec spec) {
        double ofLargest = isLargest(spec) ? largest.catchUpShare(spec.jobClass()) : 1;
        double ofClassAndTeam =
                Math.min(classes.catchUpShare(spec.jobClass()), teams.catchUpShare(spec.team()));
        return Math.min(ofLargest, ofClassAndTeam);
    }

    /** The lowest share of all classes, their largest jobs, and teams. */
    public double leastShare() {
        return Math.min(largest.leastShare(), Math.min(classes.leastShare(), teams.leastShare()));
    }

    /** A copy by name, for operators. */
    public Map<String, ServiceGroup> classes() {
        return classes.byName();
    }

    /** A copy by name, for operators. */
    public Map<String, ServiceGroup> teams() {
        return teams.byName();
    }

    /** Of each class its largest jobs alone: a copy by the class's name, for operators. */
    public Map<String, ServiceGroup> largest() {
        return largest.byName();
    }

    /**
     * For the log: by class and team, what was in time of what was decided, and what is open and
     * endangered.
     */
    public String summary() {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "served least: class %.2f, team %.2f, largest jobs of a class %.2f;"
                                        + " served in time:",
                                classes.leastShare(),
                                teams.leastShare(),
                                largest.leastShare()));
        allGroups().forEach(group -> text.append(group.summary()));
        return text.toString();
    }

    // ---- for the next leader ------------------------------------------------------------------

    /**
     * What the next leader has to know, as a document for the store. Guards against counts that
     * begin anew with each leader: on a day with many failovers nobody would ever be behind. Holds
     * the groups with the most jobs decided, as many as a value may hold.
     */
    public Map<String, Object> toRecord(double wallMillis) {
        double maxBytes = settings.store().maxValueBytes() * RECORD_FRACTION;
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("untilMs", wallMillis);
        record.put("classes", classes.toRecord(maxBytes));
        record.put("teams", teams.toRecord(maxBytes));
        record.put("largest", largest.toRecord(maxBytes));
        return record;
    }

    /**
     * Goes on from what an earlier leader counted.
     *
     * @throws io.kitepath.core.model.InvalidInputException if that is not a record of it
     */
    public void restore(Object record) {
        DocumentReader document = DocumentReader.of(record);
        countedUntilMillis = document.number("untilMs", 0);
        classes.restore(document.raw("classes"));
        teams.restore(document.raw("teams"));
        largest.restore(document.raw("largest"));
    }
}
