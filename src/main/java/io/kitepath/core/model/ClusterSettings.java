package io.kitepath.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * What the settings say about the world; every timeout and bound in the core is a ratio to these.
 *
 * @param node this node's name
 * @param zone the zone that this node is in
 * @param siblings names of the other controller nodes of this cell
 * @param zones where machines can be rented
 * @param teams by name
 * @param objectives the service-level objectives
 * @param workers the workers' timings
 * @param store the state service's limits
 * @param cloud the cloud's limits
 * @param limits what this process may use
 * @param clockErrorMillis how far two nodes' times of day may be apart
 */
public record ClusterSettings(
        String node,
        String zone,
        List<String> siblings,
        List<String> zones,
        Map<String, Team> teams,
        List<Objective> objectives,
        WorkerTimings workers,
        StoreLimits store,
        CloudLimits cloud,
        ProcessLimits limits,
        double clockErrorMillis) {
    /** A job that nothing is expected of has to start within this many leases. */
    private static final int DEFAULT_START_LEASES = 10;

    private static final int BYTES_PER_KIBIBYTE = 1024;

    /** At most this many bytes of a part's record are about one task. */
    private static final int MAX_BYTES_PER_TASK = 32;

    private static final int MIN_TASKS_PER_PART = 8;

    /**
     * A team's guarantee and quota; 0 means none.
     *
     * @param guaranteedCpus what its jobs get before those beyond their teams' guarantees
     * @param maxCpus what its jobs may have at once; 0: as much as they like
     * @param guaranteedGpus as {@code guaranteedCpus}
     * @param maxGpus as {@code maxCpus}
     */
    public record Team(
            String name,
            double guaranteedCpus,
            double maxCpus,
            double guaranteedGpus,
            double maxGpus) {}

    /**
     * A service-level objective. Kinds other than the three named here are not about single jobs,
     * or only later versions know them; they are kept and ignored.
     *
     * @param kind {@link #WAIT}, {@link #FINISHED}, {@link #DEADLINE} or another
     * @param jobClass the jobs it is about; empty if it is about none in particular
     * @param withinSeconds the time that the objective gives a job
     * @param deadlineFactor for {@link #DEADLINE}: within how many times the job's own deadline; 1
     *     otherwise
     * @param targetShare of the jobs that are to meet it, from 0 to 1
     */
    public record Objective(
            String kind,
            String jobClass,
            double withinSeconds,
            double deadlineFactor,
            double targetShare) {
        /** Tasks have to start in time. */
        public static final String WAIT = "wait";

        /** Jobs have to be done in time. */
        public static final String FINISHED = "finished";

        /** Jobs have to be done by their own deadlines. */
        public static final String DEADLINE = "deadline";

        /** Whether it is about jobs of that class. */
        public boolean isAbout(String jobClassName) {
            return jobClass.equals(jobClassName);
        }

        private boolean isOfKind(String otherKind) {
            return kind.equals(otherKind);
        }

        /** In seconds after its submission; empty if the objective does not say. */
        private OptionalDouble completionDeadline(JobSpec spec, double readyAfterSeconds) {
            if (isOfKind(FINISHED)) {
                return OptionalDouble.of(readyAfterSeconds + withinSeconds);
            }
            return isOfKind(DEADLINE) && spec.deadlineSeconds() != null
                    ? OptionalDouble.of(spec.deadlineSeconds() * deadlineFactor)
                    : OptionalDouble.empty();
        }

        /** In seconds after its submission; empty if the objective does not say. */
        private OptionalDouble startDeadline(JobSpec spec, double readyAfterSeconds) {
            if (isOfKind(WAIT)) {
                return OptionalDouble.of(readyAfterSeconds + withinSeconds);
            }
            OptionalDouble completion = completionDeadline(spec, readyAfterSeconds);
            return completion.isPresent()
                    ? OptionalDouble.of(completion.getAsDouble() - spec.estimatedSeconds())
                    : completion;
        }
    }

    /**
     * The workers' timings, all in seconds.
     *
     * @param heartbeatIntervalSeconds how often a worker reports
     * @param leaseSeconds for how long a worker keeps its tasks after it sent a report that was
     *     answered
     * @param gangStartTimeoutSeconds for how long a task waits for the rest of its gang
     * @param gangPeerTimeoutSeconds how long a gang takes to notice that a task of it is gone
     * @param cancelDeadlineSeconds within which a cancelled job's tasks have to be gone
     */
    public record WorkerTimings(
            double heartbeatIntervalSeconds,
            double leaseSeconds,
            double gangStartTimeoutSeconds,
            double gangPeerTimeoutSeconds,
            double cancelDeadlineSeconds) {
        /**
         * For how long workers may be answered without knowing what was cancelled, in seconds:
         * their lease has to expire after the last answer, both within {@code
         * cancelDeadlineSeconds}. Two heartbeat intervals and a second are left for what comes on
         * top: clock skew and drift, and an attempt found by a heartbeat that no proof has covered
         * yet. Never under one heartbeat interval, which only matters where {@code
         * cancelDeadlineSeconds} is hardly longer than the lease, so that no way of answering keeps
         * the rule for a machine that falls silent.
         */
        public double cancellationStalenessSeconds() {
            // Not longer than a lease of theirs: by then another node leads, which they would have
            // to reach as well.
            return Math.max(
                    heartbeatIntervalSeconds,
                    Math.min(
                            leaseSeconds,
                            cancelDeadlineSeconds
                                    - leaseSeconds
                                    - 2 * heartbeatIntervalSeconds
                                    - 1));
        }
    }

    /**
     * What the state service accepts, and will accept after announced limits of its have come into
     * force: writers keep to the lower ones from the start, since nobody says when that will be.
     *
     * @param requestsPerSecond of all kinds
     * @param writesPerSecond puts and deletes, those of transactions that fail too
     * @param maxValueKibibytes the size of a value, as JSON
     * @param maxTransactionOperations puts and deletes of one transaction; it may have four times
     *     as many conditions
     * @param layoutValueKibibytes the size of values by which records are laid out that earlier
     *     versions wrote, and may still read
     */
    public record StoreLimits(
            double requestsPerSecond,
            double writesPerSecond,
            double maxValueKibibytes,
            int maxTransactionOperations,
            double layoutValueKibibytes) {
        /** Limits by which records are laid out as well. */
        public StoreLimits(
                double requestsPerSecond,
                double writesPerSecond,
                double maxValueKibibytes,
                int maxTransactionOperations) {
            this(
                    requestsPerSecond,
                    writesPerSecond,
                    maxValueKibibytes,
                    maxTransactionOperations,
                    maxValueKibibytes);
        }

        /** The lower of each; records stay laid out as they are. */
        public StoreLimits tightenedBy(StoreLimits announced) {
            return new StoreLimits(
                    Math.min(requestsPerSecond, announced.requestsPerSecond),
                    Math.min(writesPerSecond, announced.writesPerSecond),
                    Math.min(maxValueKibibytes, announced.maxValueKibibytes),
                    Math.min(maxTransactionOperations, announced.maxTransactionOperations),
                    layoutValueKibibytes);
        }

        /** The bytes, in the JSON form that the state service counts, that a value may have. */
        public int maxValueBytes() {
            return (int) (maxValueKibibytes * BYTES_PER_KIBIBYTE);
        }
    }

    /**
     * What the cloud accepts.
     *
     * @param listLagSeconds how old the cloud's list of machines may be
     */
    public record CloudLimits(double requestsPerSecond, double listLagSeconds) {}

    /**
     * What the platform grants this process.
     *
     * @param cpuCores the share of one core
     * @param ramMegabytes above which the process is killed
     * @param maxSockets open at once
     */
    public record ProcessLimits(double cpuCores, double ramMegabytes, int maxSockets) {}

    /** The same with other quotas and guarantees. */
    public ClusterSettings withTeams(Map<String, Team> otherTeams) {
        return new ClusterSettings(
                node,
                zone,
                siblings,
                zones,
                otherTeams,
                objectives,
                workers,
                store,
                cloud,
                limits,
                clockErrorMillis);
    }

    /**
     * How many tasks one part record holds unless the job's own record says something else: few
     * enough that a part stays under the value limit as it was. Never changes for a deployment: a
     * part's key means these tasks, to nodes of every version.
     */
    public int tasksPerPart() {
        return tasksPerPart(store.layoutValueKibibytes);
    }

    /** The same for parts that stay under the value limit whatever machines their tasks are on. */
    public int tasksPerCompactPart() {
        return tasksPerPart(store.maxValueKibibytes);
    }

    private static int tasksPerPart(double valueKibibytes) {
        return Math.max(
                MIN_TASKS_PER_PART,
                (int) (valueKibibytes * BYTES_PER_KIBIBYTE / MAX_BYTES_PER_TASK));
    }

    /**
     * By when a job has to start to meet what is expected of it, in seconds after its submission,
     * the soonest first: by the objectives of its class, or else by its own deadline; ten leases if
     * nothing is said.
     */
    public double[] startDeadlinesSeconds(JobSpec spec) {
        return startDeadlinesSeconds(spec, 0);
    }

    /**
     * The same for a job that could not start for that many seconds, since it waited for others:
     * its deadline counts from its submission, everything else from then.
     */
    public double[] startDeadlinesSeconds(JobSpec spec, double readyAfterSeconds) {
        List<Double> deadlines = new ArrayList<>();
        for (Objective objective : objectives) {
            if (objective.isAbout(spec.jobClass())) {
                objective.startDeadline(spec, readyAfterSeconds).ifPresent(deadlines::add);
            }
        }
        if (deadlines.isEmpty()) {
            deadlines.add(
                    spec.deadlineSeconds() != null
                            ? spec.deadlineSeconds() - spec.estimatedSeconds()
                            : readyAfterSeconds + DEFAULT_START_LEASES * workers.leaseSeconds());
        }
        return deadlines.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    }

    /**
     * By when a job has to be done for its own deadline, as its class's objectives count it, in
     * seconds after its submission; the soonest first, none if it has no deadline.
     */
    public double[] ownDeadlinesSeconds(JobSpec spec) {
        if (spec.deadlineSeconds() == null) {
            return new double[0];
        }
        double[] counted =
                objectives.stream()
                        .filter(objective -> objective.isOfKind(Objective.DEADLINE))
                        .filter(objective -> objective.isAbout(spec.jobClass()))
                        .mapToDouble(objective -> spec.deadlineSeconds() * objective.deadlineFactor)
                        .sorted()
                        .toArray();
        return counted.length > 0 ? counted : new double[] {spec.deadlineSeconds()};
    }

    /**
     * By when a job has to be done to count as served at all, in seconds after its submission: the
     * most generous of its class's objectives and of its own deadline; NaN if nothing is said.
     *
     * @param readyAfterSeconds for how long it waited for other jobs
     */
    public double latestUsefulCompletionSeconds(JobSpec spec, double readyAfterSeconds) {
        double latest = Double.NaN;
        for (Objective objective : objectives) {
            if (objective.isAbout(spec.jobClass())) {
                OptionalDouble deadline = objective.completionDeadline(spec, readyAfterSeconds);
                if (deadline.isPresent()) {
                    latest =
                            Double.isNaN(latest)
                                    ? deadline.getAsDouble()
                                    : Math.max(latest, deadline.getAsDouble());
                }
            }
        }
        return Double.isNaN(latest) && spec.deadlineSeconds() != null
                ? spec.deadlineSeconds()
                : latest;
    }

    /**
     * The shortest time in seconds within which the class's jobs are expected to finish; {@code
     * absent} if nothing is said.
     */
    public double shortestFinishObjectiveSeconds(String jobClass, double absent) {
        return objectives.stream()
                .filter(objective -> objective.isOfKind(Objective.FINISHED))
                .filter(objective -> objective.isAbout(jobClass))
                .mapToDouble(Objective::withinSeconds)
                .min()
                .orElse(absent);
    }
}
