package io.kitepath.core;

import io.kitepath.core.scheduling.Preemption;
import io.kitepath.core.scheduling.Scheduler;
import io.kitepath.core.shard.HeartbeatProcessor;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ServiceLevels.ServiceGroup;
import io.kitepath.core.shard.ShardState;
import java.util.Map;
import java.util.TreeMap;

/** Formats a one-line summary of the shard for the log. */
final class ShardSummary {
    private ShardSummary() {}

    /**
     * Returns the summary: jobs, waiting tasks and placed tasks by class; for each class the jobs
     * done in time, the jobs decided (done in time or missed) and the jobs submitted; machines;
     * then evictions (all, for guarantees, for gangs), lost attempts and launched attempts since
     * the process started, with the mean delay in seconds from the placement to the launch command.
     */
    static String of(ShardState shard, HeartbeatProcessor heartbeatProcessor, Scheduler scheduler) {
        StringBuilder text = new StringBuilder("shard:");
        appendClasses(text, shard);
        appendServiceLevels(text, shard);
        appendMachines(text, shard);
        Preemption preemption = scheduler.preemption();
        long launchedAttempts = heartbeatProcessor.launchCount();
        return text.append(" evicted=")
                .append(preemption.evictions())
                .append('/')
                .append(preemption.evictionsForGuarantees())
                .append('/')
                .append(preemption.evictionsForLargeJobs())
                .append(" lost=")
                .append(shard.attemptsLost())
                .append(" launched=")
                .append(launchedAttempts)
                .append(" launchDelaySeconds=")
                .append(
                        String.format(
                                "%.2f",
                                heartbeatProcessor.launchDelaySeconds()
                                        / Math.max(1, launchedAttempts)))
                .toString();
    }

    private static final class ClassCounts {
        int jobs;
        int waitingTasks;
        int placedTasks;
    }

    private static void appendClasses(StringBuilder text, ShardState shard) {
        Map<String, ClassCounts> classes = new TreeMap<>();
        for (Job job : shard.jobs().values()) {
            ClassCounts counts =
                    classes.computeIfAbsent(job.spec.jobClass(), name -> new ClassCounts());
            counts.jobs++;
            counts.waitingTasks += job.waitingTasks();
            counts.placedTasks += job.liveAttempts().size();
        }
        classes.forEach(
                (name, counts) ->
                        text.append(' ')
                                .append(name)
                                .append(" jobs=")
                                .append(counts.jobs)
                                .append(" waiting=")
                                .append(counts.waitingTasks)
                                .append(" placed=")
                                .append(counts.placedTasks)
                                .append(';'));
    }

    private static void appendServiceLevels(StringBuilder text, ShardState shard) {
        Map<String, ServiceGroup> classes = shard.serviceLevels().classes();
        classes.forEach(
                (name, group) ->
                        text.append(" served ")
                                .append(name)
                                .append('=')
                                .append(group.goalsMet())
                                .append('/')
                                .append(group.goalsMet() + group.goalsMissed())
                                .append('/')
                                .append(group.submitted()));
    }

    private static void appendMachines(StringBuilder text, ShardState shard) {
        int spotMachines = 0;
        int unconfirmedMachines = 0;
        int quarantinedMachines = 0;
        int idleMachines = 0;
        int reservedMachines = 0;
        double usedCpus = 0;
        for (Machine machine : shard.machines().values()) {
            spotMachines += machine.isSpot() ? 1 : 0;
            unconfirmedMachines += machine.isTokenConfirmed() ? 0 : 1;
            quarantinedMachines += machine.isQuarantined() ? 1 : 0;
            idleMachines += machine.isBusy() ? 0 : 1;
            reservedMachines += machine.reservedFor() != null ? 1 : 0;
            usedCpus += machine.usedCpus();
        }
        text.append(" machines ordinary=")
                .append(shard.machines().size() - spotMachines)
                .append(" spot=")
                .append(spotMachines)
                .append(" tokenUnconfirmed=")
                .append(unconfirmedMachines)
                .append(" quarantined=")
                .append(quarantinedMachines)
                .append(" idle=")
                .append(idleMachines)
                .append(" reserved=")
                .append(reservedMachines)
                .append(" cpus=")
                .append(Math.round(usedCpus));
    }
}
