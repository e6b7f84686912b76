package io.kitepath.simulation;

import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks the rules that hold over all cells, from what users are told and what is on machines:
 * every task runs once, quotas hold, no job is forgotten or changes after its end, and cancelled
 * jobs stop in time. Violations go to {@link MultiCellSimulation#violations}.
 */
final class MultiCellInvariants {
    /** How long a task may still be on a machine once a user was told that it is cancelled. */
    private static final double CANCEL_SECONDS = 30;

    private static final double CPU_TOLERANCE = 1e-6;

    private final MultiCellSimulation simulation;

    /** The most CPUs that each team may use; teams that are not in it have no limit. */
    private final Map<String, Double> cpuLimits;

    /** The final status that a user was told, by job id. */
    private final Map<String, String> reportedStatus = new HashMap<>();

    private final Map<String, Double> cancelledAt = new HashMap<>();
    private final Set<String> accepted = new HashSet<>();

    MultiCellInvariants(MultiCellSimulation simulation, Map<String, Double> cpuLimits) {
        this.simulation = simulation;
        this.cpuLimits = cpuLimits;
    }

    /** Checks an answer about a job that has reached a user. */
    void checkAnswer(String id, JobResponse response) {
        if (response.verdict() == Verdict.NOT_FOUND && accepted.contains(id)) {
            violation("forgotten: " + id);
        }
        if (response.jobStatus() == null || response.verdict() == Verdict.LATER) {
            return;
        }
        accepted.add(id);
        String now = response.jobStatus().status();
        String before = reportedStatus.get(id);
        if (before != null && !before.equals(now)) {
            violation("went back: " + id + " was " + before + ", is " + now);
        }
        if (now.equals("done") || now.equals("cancelled")) {
            reportedStatus.put(id, now);
        }
        if (now.equals("cancelled")) {
            cancelledAt.putIfAbsent(id, simulation.clock.now);
        }
        if (now.equals("done") && simulation.tasksDone(id) < simulation.specs.get(id).taskCount()) {
            violation("not done: " + id);
        }
    }

    /** Checks what is on machines now, and from now on at the simulation's interval. */
    void checkPeriodically() {
        Map<String, String> workerOfTask = new HashMap<>();
        Map<String, Double> usedCpus = new HashMap<>();
        for (SimulatedCluster cluster : simulation.clusters.values()) {
            for (SimulatedWorker worker : cluster.workers.values()) {
                for (SimulatedTask task : worker.tasks.values()) {
                    if (worker.up && task.state != TaskState.ENDED) {
                        checkTask(task, workerOfTask, usedCpus);
                    }
                }
            }
        }
        usedCpus.forEach(this::checkQuota);
        simulation.clock.after(simulation.checkIntervalSeconds, this::checkPeriodically);
    }

    private void checkTask(
            SimulatedTask task, Map<String, String> workerOfTask, Map<String, Double> usedCpus) {
        String name = task.jobId + "/" + task.number;
        String worker = task.worker.id;
        String other = workerOfTask.put(name, worker);
        if (other != null) {
            violation("twice: " + name + " on " + other + " and " + worker);
        }
        JobSpec spec = simulation.specs.get(task.jobId);
        usedCpus.merge(spec.team(), spec.cpusPerTask(), Double::sum);
        Double cancelled = cancelledAt.get(task.jobId);
        if (cancelled != null && simulation.clock.now > cancelled + CANCEL_SECONDS) {
            violation("ran cancelled: " + name + " on " + worker);
        }
    }

    private void checkQuota(String team, double cpus) {
        simulation.mostUsed.merge(team, cpus, Math::max);
        if (cpus > cpuLimits.getOrDefault(team, Double.MAX_VALUE) + CPU_TOLERANCE) {
            violation("quota: team " + team + " has " + cpus + " CPUs");
        }
    }

    private void violation(String text) {
        simulation.violations.add(text);
    }
}
