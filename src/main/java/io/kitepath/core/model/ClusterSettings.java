package io.kitepath.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The settings that describe the cluster and its environment. Every timeout and bound in the core
 * is derived from them by a ratio.
 *
 * @param node this node's name
 * @param zone the zone that this node is in
 * @param peers the names of this node's peers, the other controller nodes of the cell
 * @param zones the zones where machines can be rented
 * @param teams the teams by name
 * @param objectives the service-level objectives
 * @param workers the workers' timings
 * @param store the state service's limits
 * @param cloud the cloud's limits
 * @param limits the resource limits of this process
 * @param clockErrorMillis the maximum difference between the wall clocks of two nodes
 */
public record ClusterSettings(
        String node,
        String zone,
        List<String> peers,
        List<String> zones,
        Map<String, Team> teams,
        List<Objective> objectives,
        WorkerTimings workers,
        StoreLimits store,
        CloudLimits cloud,
        ProcessLimits limits,
        double clockErrorMillis) {
    /** The start goal, in worker leases, of a job without objective and deadline. */
    private static final int DEFAULT_START_GOAL_LEASES = 10;

    private static final int BYTES_PER_KIBIBYTE = 1024;

    /** Upper bound of the bytes that one task takes in a part's record. */
    private static final int MAX_RECORD_BYTES_PER_TASK = 32;

    private static final int MIN_TASKS_PER_PART = 8;

    /**
     * A team's guarantee and quota; 0 means none.
     *
     * @param guaranteedCpus the CPUs that its jobs receive before jobs that exceed their teams'
     *     guarantees
     * @param maxCpus the CPUs that its jobs may use at the same time; 0: unlimited
     * @param guaranteedGpus the same for GPUs as {@code guaranteedCpus}
     * @param maxGpus the same for GPUs as {@code maxCpus}
     */
    public record Team(
            String name,
            double guaranteedCpus,
            double maxCpus,
            double guaranteedGpus,
            double maxGpus) {}

    /**
     * A service-level objective. Other kinds than the three named here do not apply to single jobs
     * or were added by a later version; they are kept and ignored.
     *
     * @param kind {@link #WAIT}, {@link #FINISHED}, {@link #DEADLINE} or another
     * @param jobClass the class of jobs to which it applies; empty if it applies to no particular
     *     class
     * @param withinSeconds the time within which a job has to meet the objective
     * @param deadlineFactor for {@link #DEADLINE}: the factor by which the job's own deadline is
     *     multiplied; 1 otherwise
     * @param targetShare the share of the jobs that should meet it, from 0 to 1
     */
    public record Objective(
            String kind,
            String jobClass,
            double withinSeconds,
            double deadlineFactor,
            double targetShare) {
        /** Tasks have to start within {@code withinSeconds}. */
        public static final String WAIT = "wait";

        /** Jobs have to be done within {@code withinSeconds}. */
        public static final String FINISHED = "finished";

        /** Jobs have to be done by their own deadlines. */
        public static final String DEADLINE = "deadline";

        /** Whether the objective applies to jobs of the class. */
        public boolean appliesTo(String jobClassName) {
            return jobClass.equals(jobClassName);
        }

        private boolean isOfKind(String expectedKind) {
            return kind.equals(expectedKind);
        }

        /**
         * Seconds after the submission by which the job has to be done; empty if no limit is set.
         */
        private OptionalDouble completionDeadlineSeconds(JobSpec spec, double readyAfterSeconds) {
            if (isOfKind(FINISHED)) {
                return OptionalDouble.of(readyAfterSeconds + withinSeconds);
            }
            return isOfKind(DEADLINE) && spec.deadlineSeconds() != null
                    ? OptionalDouble.of(spec.deadlineSeconds() * deadlineFactor)
                    : OptionalDouble.empty();
        }

        /** Seconds after the submission by which the job has to start; empty if no limit is set. */
        private OptionalDouble startDeadlineSeconds(JobSpec spec, double readyAfterSeconds) {
            if (isOfKind(WAIT)) {
                return OptionalDouble.of(readyAfterSeconds + withinSeconds);
            }
            OptionalDouble completion = completionDeadlineSeconds(spec, readyAfterSeconds);
            return completion.isPresent()
                    ? OptionalDouble.of(completion.getAsDouble() - spec.estimatedSeconds())
                    : completion;
        }
    }

    /**
     * The workers' timings, all in seconds.
     *
     * @param heartbeatIntervalSeconds the interval between two heartbeats of a worker
     * @param leaseSeconds how long a worker keeps its tasks after it sent a heartbeat that received
     *     a response
     * @param gangStartTimeoutSeconds how long a task waits for the other tasks of its gang
     * @param gangPeerTimeoutSeconds how long a gang takes to detect that one of its tasks has ended
     * @param cancelDeadlineSeconds the time within which all tasks of a cancelled job have to end
     */
    public record WorkerTimings(
            double heartbeatIntervalSeconds,
            double leaseSeconds,
            double gangStartTimeoutSeconds,
            double gangPeerTimeoutSeconds,
            double cancelDeadlineSeconds) {
        /**
         * Returns how long the leader may respond to heartbeats without current knowledge of the
         * cancellations, in seconds. This time and the lease that the last response renewed have to
         * end within {@code cancelDeadlineSeconds}. Two heartbeat intervals and one second are
         * reserved for clock skew and drift, and for an attempt that was discovered by a heartbeat
         * and is not covered by a proof yet. The result is at least one heartbeat interval. This
         * minimum applies only if {@code cancelDeadlineSeconds} is hardly longer than the lease; no
         * response policy can then meet the deadline for a machine that stops sending heartbeats.
         */
        public double cancellationStalenessSeconds() {
            // At most one worker lease: after that time another node is the leader, and
            // cancellations would have to reach it as well.
            return Math.max(
                    heartbeatIntervalSeconds,
                    Math.min(
                            leaseSeconds,
                            cancelDeadlineSeconds
                                    - leaseSeconds
                                    - 2 * heartbeatIntervalSeconds
                                    - 1));
        }

        /**
         * Returns how old the leader's knowledge of cancellations may be when it reports a job that
         * waits for others, in seconds. Together with {@link #progressRepetitionSeconds} it stays
         * under {@code cancelDeadlineSeconds}, after which a dependent of a cancelled job must not
         * be called pending.
         */
        public double dependencyStalenessSeconds() {
            return cancelDeadlineSeconds / 4;
        }

        /**
         * Returns for how long, after it was requested, a node may repeat what the leader reported
         * of a job that may wait for others, in seconds.
         */
        public double progressRepetitionSeconds() {
            return cancelDeadlineSeconds / 2;
        }

        /**
         * Returns how long after the leader has learned that a job is cancelled some node may still
         * call its dependents pending, in seconds. A sixteenth of {@code cancelDeadlineSeconds} is
         * added for clock skew and drift.
         */
        public double pendingReportLifetimeSeconds() {
            return dependencyStalenessSeconds()
                    + progressRepetitionSeconds()
                    + cancelDeadlineSeconds / 16;
        }
    }

    /**
     * The limits of the state service. If lower limits are announced, writers keep to them from the
     * start, since the time at which they come into force is unknown.
     *
     * @param requestsPerSecond the rate limit for requests of all kinds
     * @param writesPerSecond the rate limit for puts and deletes, including those of failed
     *     transactions
     * @param maxValueKibibytes the maximum size of a value, as JSON
     * @param maxTransactionOperations the maximum number of puts and deletes in one transaction; it
     *     may have four times as many conditions
     * @param layoutValueKibibytes the value size that determines the layout of records which
     *     earlier versions wrote and may still read
     */
    public record StoreLimits(
            double requestsPerSecond,
            double writesPerSecond,
            double maxValueKibibytes,
            int maxTransactionOperations,
            double layoutValueKibibytes) {
        /** Creates limits whose maximum value size also determines the layout of records. */
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

        /** Returns the lower value of each limit. The layout of records does not change. */
        public StoreLimits tightenedBy(StoreLimits announced) {
            return new StoreLimits(
                    Math.min(requestsPerSecond, announced.requestsPerSecond),
                    Math.min(writesPerSecond, announced.writesPerSecond),
                    Math.min(maxValueKibibytes, announced.maxValueKibibytes),
                    Math.min(maxTransactionOperations, announced.maxTransactionOperations),
                    layoutValueKibibytes);
        }

        /**
         * Returns the maximum size of a value in bytes, in the JSON form that the state service
         * counts.
         */
        public int maxValueBytes() {
            return (int) (maxValueKibibytes * BYTES_PER_KIBIBYTE);
        }
    }

    /**
     * The limits of the cloud's API.
     *
     * @param listLagSeconds the maximum age of the cloud's list of machines
     */
    public record CloudLimits(double requestsPerSecond, double listLagSeconds) {}

    /**
     * The resources that the platform grants to this process.
     *
     * @param cpuCores the share of one CPU core
     * @param ramMegabytes the memory limit above which the process is killed
     * @param maxSockets the maximum number of open sockets
     */
    public record ProcessLimits(double cpuCores, double ramMegabytes, int maxSockets) {}

    /** Returns a copy with other quotas and guarantees. */
    public ClusterSettings withTeams(Map<String, Team> newTeams) {
        return new ClusterSettings(
                node,
                zone,
                peers,
                zones,
                newTeams,
                objectives,
                workers,
                store,
                cloud,
                limits,
                clockErrorMillis);
    }

    /**
     * Returns the number of tasks in one part record, unless the job's record states another one. A
     * part of this size stays under the value size limit of the record layout. The number never
     * changes within a deployment, because nodes of every version derive a part's tasks from its
     * key.
     */
    public int tasksPerPart() {
        return tasksPerPart(store.layoutValueKibibytes);
    }

    /**
     * Returns the number of tasks in one part record that stays under the current value size limit
     * on whichever machines its tasks run.
     */
    public int tasksPerCompactPart() {
        return tasksPerPart(store.maxValueKibibytes);
    }

    private static int tasksPerPart(double maxKibibytesPerValue) {
        return Math.max(
                MIN_TASKS_PER_PART,
                (int) (maxKibibytesPerValue * BYTES_PER_KIBIBYTE / MAX_RECORD_BYTES_PER_TASK));
    }

    /**
     * Returns the times by which a job has to start to meet its start goals, in seconds after its
     * submission, earliest first. They follow from the objectives of its class, or else from its
     * own deadline. Without either, the start goal is ten worker leases.
     */
    public double[] startDeadlinesSeconds(JobSpec spec) {
        return startDeadlinesSeconds(spec, 0);
    }

    /**
     * Returns the start deadlines of a job that waited for its dependencies during its first {@code
     * readyAfterSeconds}. Its own deadline counts from its submission, all other goals from the end
     * of that wait.
     */
    public double[] startDeadlinesSeconds(JobSpec spec, double readyAfterSeconds) {
        List<Double> deadlines = new ArrayList<>();
        for (Objective objective : objectives) {
            if (objective.appliesTo(spec.jobClass())) {
                objective.startDeadlineSeconds(spec, readyAfterSeconds).ifPresent(deadlines::add);
            }
        }
        if (deadlines.isEmpty()) {
            deadlines.add(
                    spec.deadlineSeconds() != null
                            ? spec.deadlineSeconds() - spec.estimatedSeconds()
                            : readyAfterSeconds
                                    + DEFAULT_START_GOAL_LEASES * workers.leaseSeconds());
        }
        return deadlines.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    }

    /**
     * Returns the times by which a job has to be done to meet its own deadline, as the objectives
     * of its class count it, in seconds after its submission, earliest first. The result is empty
     * if the job has no deadline.
     */
    public double[] ownDeadlinesSeconds(JobSpec spec) {
        if (spec.deadlineSeconds() == null) {
            return new double[0];
        }
        double[] deadlines =
                objectives.stream()
                        .filter(objective -> objective.isOfKind(Objective.DEADLINE))
                        .filter(objective -> objective.appliesTo(spec.jobClass()))
                        .mapToDouble(objective -> spec.deadlineSeconds() * objective.deadlineFactor)
                        .sorted()
                        .toArray();
        return deadlines.length > 0 ? deadlines : new double[] {spec.deadlineSeconds()};
    }

    /**
     * Returns the latest time at which completing a job still meets a goal, in seconds after its
     * submission: the latest completion deadline by the objectives of its class, or else the job's
     * own deadline. Returns NaN if the job has neither.
     *
     * @param readyAfterSeconds how long the job waited for its dependencies
     */
    public double latestUsefulCompletionSeconds(JobSpec spec, double readyAfterSeconds) {
        double latest = Double.NaN;
        for (Objective objective : objectives) {
            if (objective.appliesTo(spec.jobClass())) {
                OptionalDouble deadline =
                        objective.completionDeadlineSeconds(spec, readyAfterSeconds);
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
     * Returns the shortest time in seconds within which the class's jobs should finish, or {@code
     * defaultSeconds} if no objective states one.
     */
    public double shortestFinishObjectiveSeconds(String jobClass, double defaultSeconds) {
        return objectives.stream()
                .filter(objective -> objective.isOfKind(Objective.FINISHED))
                .filter(objective -> objective.appliesTo(jobClass))
                .mapToDouble(Objective::withinSeconds)
                .min()
                .orElse(defaultSeconds);
    }
}
