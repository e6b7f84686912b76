package io.kitepath.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What the settings say about the world; every waiting time and bound in the core is a ratio to these. */
public record Facts(
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
    public record Objective(String kind, String jobClass, double withinS, double times, double share) {}

    public record Workers(double reportS, double leaseS, double gangWaitS, double gangPeerS, double cancelS) {}

    public record StoreLimits(double rps, double writeRps, double valueKb, int txnOps) {}

    public record CloudLimits(double rps, double listLagS) {}

    public record Limits(double cpu, double ramMb, int sockets) {}

    /** The same with other limits and guarantees. */
    public Facts withTeams(Map<String, Team> others) {
        return new Facts(node, zone, siblings, zones, others, objectives, workers, store, cloud, limits, clockErrorMs);
    }

    /** How many tasks one part record holds: at most 32 bytes each, so that a part stays under the value limit. */
    public int tasksPerPart() {
        return Math.max(8, (int) (store.valueKb * 1024 / 32));
    }

    /**
     * By when after its submission a job has to start to meet what is expected of it, the soonest first: the objectives
     * of its class, its own deadline; ten leases if nothing is said.
     */
    public double[] startWithinS(JobSpec s) {
        List<Double> goals = new ArrayList<>();
        for (Objective o : objectives) {
            if (!o.jobClass.equals(s.jobClass())) {
                continue;
            }
            switch (o.kind) {
                case "wait" -> goals.add(o.withinS);
                case "finished" -> goals.add(o.withinS - s.estimateS());
                case "deadline" -> {
                    if (s.deadlineS() != null) {
                        goals.add(s.deadlineS() * o.times - s.estimateS());
                    }
                }
                default -> { } // Not about single jobs.
            }
        }
        if (goals.isEmpty()) {
            goals.add(s.deadlineS() != null ? s.deadlineS() - s.estimateS() : 10 * workers.leaseS());
        }
        return goals.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    }

    /**
     * Within what time after its submission a job has to be done to count as served at all: the most generous of its
     * class's objectives and of its own deadline; NaN if nothing is said.
     */
    public double servedWithinS(JobSpec s) {
        double most = Double.NaN;
        for (Objective o : objectives) {
            if (!o.jobClass.equals(s.jobClass())) {
                continue;
            }
            double within = o.kind.equals("finished") ? o.withinS
                    : o.kind.equals("deadline") && s.deadlineS() != null ? s.deadlineS() * o.times : Double.NaN;
            most = Double.isNaN(most) || within > most ? within : most;
        }
        return Double.isNaN(most) && s.deadlineS() != null ? s.deadlineS() : most;
    }

    /** The shortest time within which the class's jobs are expected to finish; {@code absent} if nothing is said. */
    public double finishWithinS(String jobClass, double absent) {
        return objectives.stream().filter(o -> o.kind.equals("finished") && o.jobClass.equals(jobClass))
                .mapToDouble(Objective::withinS).min().orElse(absent);
    }
}
