package io.kitepath.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What the settings say about the world; every waiting time and bound in the core is a ratio to
 * these.
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

    /** Guarantees and limits; 0 means none. */
    public record Team(
            String name,
            double guaranteedCpus,
            double maxCpus,
            double guaranteedGpus,
            double maxGpus) {}

    /**
     * {@code deadlineFactor}: of a job's own deadline; 1 unless that is what the objective is
     * about.
     */
    public record Objective(
            String kind,
            String jobClass,
            double withinSeconds,
            double deadlineFactor,
            double targetShare) {}

    public record WorkerTimings(
            double heartbeatIntervalSeconds,
            double leaseSeconds,
            double gangStartTimeoutSeconds,
            double gangPeerTimeoutSeconds,
            double cancelDeadlineSeconds) {
        /**
         * For how long workers may be answered without knowing what was cancelled, in seconds:
         * their lease has to run out after the last answer, in {@code cancelS} altogether. Two
         * report intervals and a second are left for what comes on top: clocks apart and drifting,
         * an attempt found by report that no proof has covered yet. Not under one report interval,
         * which only matters where {@code cancelS} is hardly longer than the lease, so that no way
         * of answering keeps the rule for a machine that falls silent.
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
     * What the state service takes, and will take after limits of its that are announced have
     * fallen: whoever writes keeps to the lower ones from the start, since nobody says when they
     * fall.
     *
     * @param layoutValueKibibytes the size of values by which records are laid out that earlier
     *     versions wrote, and may still read
     */
    public record StoreLimits(
            double requestsPerSecond,
            double writesPerSecond,
            double maxValueKibibytes,
            int maxTransactionOperations,
            double layoutValueKibibytes) {
        public StoreLimits(double rps, double writeRps, double valueKb, int txnOps) {
            this(rps, writeRps, valueKb, txnOps, valueKb);
        }

        /** The lower of each; records stay laid out as they are. */
        public StoreLimits tightenedBy(StoreLimits next) {
            return new StoreLimits(
                    Math.min(requestsPerSecond, next.requestsPerSecond),
                    Math.min(writesPerSecond, next.writesPerSecond),
                    Math.min(maxValueKibibytes, next.maxValueKibibytes),
                    Math.min(maxTransactionOperations, next.maxTransactionOperations),
                    layoutValueKibibytes);
        }

        /** The bytes, in the JSON form that the state service counts, that a value may have. */
        public int maxValueBytes() {
            return (int) (maxValueKibibytes * 1024);
        }
    }

    public record CloudLimits(double requestsPerSecond, double listLagSeconds) {}

    public record ProcessLimits(double cpuCores, double ramMegabytes, int maxSockets) {}

    /** The same with other limits and guarantees. */
    public ClusterSettings withTeams(Map<String, Team> others) {
        return new ClusterSettings(
                node,
                zone,
                siblings,
                zones,
                others,
                objectives,
                workers,
                store,
                cloud,
                limits,
                clockErrorMillis);
    }

    /**
     * How many tasks one part record holds unless the job's own record says something else: at most
     * 32 bytes each, so that a part stays under the value limit as it was. Never changes for a
     * deployment: a part's key means these tasks, to nodes of every version.
     */
    public int tasksPerPart() {
        return tasksPerPart(store.layoutValueKibibytes);
    }

    /** The same for parts that stay under the value limit whatever machines their tasks are on. */
    public int tasksPerCompactPart() {
        return tasksPerPart(store.maxValueKibibytes);
    }

    private static int tasksPerPart(double valueKb) {
        return Math.max(8, (int) (valueKb * 1024 / 32));
    }

    /**
     * By when after its submission a job has to start to meet what is expected of it, the soonest
     * first: the objectives of its class, its own deadline; ten leases if nothing is said.
     */
    public double[] startDeadlinesSeconds(JobSpec spec) {
        return startDeadlinesSeconds(spec, 0);
    }

    /**
     * The same for a job that could not start for that many seconds, since it waited for others:
     * its deadline counts from its submission, everything else from then.
     */
    public double[] startDeadlinesSeconds(JobSpec spec, double readyAfterS) {
        List<Double> goals = new ArrayList<>();
        for (Objective objective : objectives) {
            if (!objective.jobClass.equals(spec.jobClass())) {
                continue;
            }
            switch (objective.kind) {
                case "wait" -> goals.add(readyAfterS + objective.withinSeconds);
                case "finished" ->
                        goals.add(readyAfterS + objective.withinSeconds - spec.estimatedSeconds());
                case "deadline" -> {
                    if (spec.deadlineSeconds() != null) {
                        goals.add(
                                spec.deadlineSeconds() * objective.deadlineFactor
                                        - spec.estimatedSeconds());
                    }
                }
                default -> {} // Not about single jobs.
            }
        }
        if (goals.isEmpty()) {
            goals.add(
                    spec.deadlineSeconds() != null
                            ? spec.deadlineSeconds() - spec.estimatedSeconds()
                            : readyAfterS + 10 * workers.leaseSeconds());
        }
        return goals.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    }

    /**
     * Within what times after its submission a job has to be done for its own deadline, as its
     * class's objectives count it; the soonest first, none if it has no deadline.
     */
    public double[] ownDeadlinesSeconds(JobSpec spec) {
        if (spec.deadlineSeconds() == null) {
            return new double[0];
        }
        double[] of =
                objectives.stream()
                        .filter(
                                objective ->
                                        objective.kind.equals("deadline")
                                                && objective.jobClass.equals(spec.jobClass()))
                        .mapToDouble(objective -> spec.deadlineSeconds() * objective.deadlineFactor)
                        .sorted()
                        .toArray();
        return of.length > 0 ? of : new double[] {spec.deadlineSeconds()};
    }

    /**
     * Within what time after its submission a job has to be done to count as served at all: the
     * most generous of its class's objectives and of its own deadline; NaN if nothing is said.
     *
     * @param readyAfterS for how long it waited for other jobs
     */
    public double latestUsefulCompletionSeconds(JobSpec spec, double readyAfterS) {
        double most = Double.NaN;
        for (Objective objective : objectives) {
            if (!objective.jobClass.equals(spec.jobClass())) {
                continue;
            }
            double within =
                    objective.kind.equals("finished")
                            ? readyAfterS + objective.withinSeconds
                            : objective.kind.equals("deadline") && spec.deadlineSeconds() != null
                                    ? spec.deadlineSeconds() * objective.deadlineFactor
                                    : Double.NaN;
            most = Double.isNaN(most) || within > most ? within : most;
        }
        return Double.isNaN(most) && spec.deadlineSeconds() != null ? spec.deadlineSeconds() : most;
    }

    /**
     * The shortest time within which the class's jobs are expected to finish; {@code absent} if
     * nothing is said.
     */
    public double shortestFinishObjectiveSeconds(String jobClass, double absent) {
        return objectives.stream()
                .filter(
                        objective ->
                                objective.kind.equals("finished")
                                        && objective.jobClass.equals(jobClass))
                .mapToDouble(Objective::withinSeconds)
                .min()
                .orElse(absent);
    }
}
