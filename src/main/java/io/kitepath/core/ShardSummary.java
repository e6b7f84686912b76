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

/** One line for the log that sums up the shard. */
final class ShardSummary {
    private ShardSummary() {}

    /**
     * Jobs, waiting and placed tasks by class; of each class the jobs done in time, decided and
     * submitted; machines; then evictions (all, for guarantees, for gangs), losses and launches
     * since the process started, with the mean seconds from a placing to its launch.
     */
    static String of(ShardState shard, HeartbeatProcessor heartbeatProcessor, Scheduler scheduler) {
        StringBuilder text = new StringBuilder("shard:");
        appendClasses(text, shard);
        appendServiceLevels(text, shard);
        appendMachines(text, shard);
        Preemption preemption = scheduler.preemption();
        long launches = heartbeatProcessor.launchCount();
        return text.append(" evicted=")
                .append(preemption.evictions())
                .append('/')
                .append(preemption.evictionsForGuarantees())
                .append('/')
                .append(preemption.evictionsForLargeJobs())
                .append(" lost=")
                .append(shard.attemptsLost())
                .append(" launched=")
                .append(launches)
                .append(" launchDelaySeconds=")
                .append(
                        String.format(
                                "%.2f",
                                heartbeatProcessor.launchDelaySeconds() / Math.max(1, launches)))
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
        int spot = 0;
        int unconfirmed = 0;
        int quarantined = 0;
        int idle = 0;
        int reserved = 0;
        double usedCpus = 0;
        for (Machine machine : shard.machines().values()) {
            spot += machine.isSpot() ? 1 : 0;
            unconfirmed += machine.isTokenConfirmed() ? 0 : 1;
            quarantined += machine.isQuarantined() ? 1 : 0;
            idle += machine.isBusy() ? 0 : 1;
            reserved += machine.reservedFor() != null ? 1 : 0;
            usedCpus += machine.usedCpus();
        }
        text.append(" machines ordinary=")
                .append(shard.machines().size() - spot)
                .append(" spot=")
                .append(spot)
                .append(" tokenUnconfirmed=")
                .append(unconfirmed)
                .append(" quarantined=")
                .append(quarantined)
                .append(" idle=")
                .append(idle)
                .append(" reserved=")
                .append(reserved)
                .append(" cpus=")
                .append(Math.round(usedCpus));
    }
}
