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
        Workers workers,
        StoreLimits store,
        CloudLimits cloud,
        Limits limits,
        double clockErrorMs) {

    /** Guarantees and limits; 0 means none. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /** {@code times}: of a job's own deadline; 1 unless that is what the objective is about. */
    public record Objective(
            String kind, String jobClass, double withinS, double times, double share) {}

    public record Workers(
            double reportS, double leaseS, double gangWaitS, double gangPeerS, double cancelS) {
        /**
         * For how long workers may be answered without knowing what was cancelled, in seconds:
         * their lease has to run out after the last answer, in {@code cancelS} altogether. Two
         * report intervals and a second are left for what comes on top: clocks apart and drifting,
         * an attempt found by report that no proof has covered yet. Not under one report interval,
         * which only matters where {@code cancelS} is hardly longer than the lease, so that no way
         * of answering keeps the rule for a machine that falls silent.
         */
        public double marginS() {
            // Not longer than a lease of theirs: by then another node leads, which they would have
            // to reach as well.
            return Math.max(reportS, Math.min(leaseS, cancelS - leaseS - 2 * reportS - 1));
        }
    }

    /**
     * What the state service takes, and will take after limits of its that are announced have
     * fallen: whoever writes keeps to the lower ones from the start, since nobody says when they
     * fall.
     *
     * @param layoutKb the size of values by which records are laid out that earlier versions wrote,
     *     and may still read
     */
    public record StoreLimits(
            double rps, double writeRps, double valueKb, int txnOps, double layoutKb) {
        public StoreLimits(double rps, double writeRps, double valueKb, int txnOps) {
            this(rps, writeRps, valueKb, txnOps, valueKb);
        }

        /** The lower of each; records stay laid out as they are. */
        public StoreLimits andLater(StoreLimits next) {
            return new StoreLimits(
                    Math.min(rps, next.rps),
                    Math.min(writeRps, next.writeRps),
                    Math.min(valueKb, next.valueKb),
                    Math.min(txnOps, next.txnOps),
                    layoutKb);
        }

        /** The bytes, in the JSON form that the state service counts, that a value may have. */
        public int valueBytes() {
            return (int) (valueKb * 1024);
        }
    }

    public record CloudLimits(double rps, double listLagS) {}

    public record Limits(double cpu, double ramMb, int sockets) {}

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
                clockErrorMs);
    }

    /**
     * How many tasks one part record holds unless the job's own record says something else: at most
     * 32 bytes each, so that a part stays under the value limit as it was. Never changes for a
     * deployment: a part's key means these tasks, to nodes of every version.
     */
    public int tasksPerPart() {
        return tasksPerPart(store.layoutKb);
    }

    /** The same for parts that stay under the value limit whatever machines their tasks are on. */
    public int tasksPerNarrowPart() {
        return tasksPerPart(store.valueKb);
    }

    private static int tasksPerPart(double valueKb) {
        return Math.max(8, (int) (valueKb * 1024 / 32));
    }

    /**
     * By when after its submission a job has to start to meet what is expected of it, the soonest
     * first: the objectives of its class, its own deadline; ten leases if nothing is said.
     */
    public double[] startWithinS(JobSpec spec) {
        return startWithinS(spec, 0);
    }

    /**
     * The same for a job that could not start for that many seconds, since it waited for others:
     * its deadline counts from its submission, everything else from then.
     */
    public double[] startWithinS(JobSpec spec, double readyAfterS) {
        List<Double> goals = new ArrayList<>();
        for (Objective objective : objectives) {
            if (!objective.jobClass.equals(spec.jobClass())) {
                continue;
            }
            switch (objective.kind) {
                case "wait" -> goals.add(readyAfterS + objective.withinS);
                case "finished" -> goals.add(readyAfterS + objective.withinS - spec.estimateS());
                case "deadline" -> {
                    if (spec.deadlineS() != null) {
                        goals.add(spec.deadlineS() * objective.times - spec.estimateS());
                    }
                }
                default -> {} // Not about single jobs.
            }
        }
        if (goals.isEmpty()) {
            goals.add(
                    spec.deadlineS() != null
                            ? spec.deadlineS() - spec.estimateS()
                            : readyAfterS + 10 * workers.leaseS());
        }
        return goals.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    }

    /**
     * Within what times after its submission a job has to be done for its own deadline, as its
     * class's objectives count it; the soonest first, none if it has no deadline.
     */
    public double[] deadlinesS(JobSpec spec) {
        if (spec.deadlineS() == null) {
            return new double[0];
        }
        double[] of =
                objectives.stream()
                        .filter(
                                objective ->
                                        objective.kind.equals("deadline")
                                                && objective.jobClass.equals(spec.jobClass()))
                        .mapToDouble(objective -> spec.deadlineS() * objective.times)
                        .sorted()
                        .toArray();
        return of.length > 0 ? of : new double[] {spec.deadlineS()};
    }

    /**
     * Within what time after its submission a job has to be done to count as served at all: the
     * most generous of its class's objectives and of its own deadline; NaN if nothing is said.
     *
     * @param readyAfterS for how long it waited for other jobs
     */
    public double servedWithinS(JobSpec spec, double readyAfterS) {
        double most = Double.NaN;
        for (Objective objective : objectives) {
            if (!objective.jobClass.equals(spec.jobClass())) {
                continue;
            }
            double within =
                    objective.kind.equals("finished")
                            ? readyAfterS + objective.withinS
                            : objective.kind.equals("deadline") && spec.deadlineS() != null
                                    ? spec.deadlineS() * objective.times
                                    : Double.NaN;
            most = Double.isNaN(most) || within > most ? within : most;
        }
        return Double.isNaN(most) && spec.deadlineS() != null ? spec.deadlineS() : most;
    }

    /**
     * The shortest time within which the class's jobs are expected to finish; {@code absent} if
     * nothing is said.
     */
    public double finishWithinS(String jobClass, double absent) {
        return objectives.stream()
                .filter(
                        objective ->
                                objective.kind.equals("finished")
                                        && objective.jobClass.equals(jobClass))
                .mapToDouble(Objective::withinS)
                .min()
                .orElse(absent);
    }
}
