package io.kitepath.core;

import io.kitepath.core.leadership.CancellationWatermark;
import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.leadership.MembershipView;
import io.kitepath.core.model.Metric;
import io.kitepath.core.port.Timers;
import io.kitepath.core.scheduling.Scheduler;
import io.kitepath.core.service.HeartbeatService;
import io.kitepath.core.shard.HeartbeatProcessor;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ServiceLevels;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateWriter;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/** What a node counts, for operators. */
final class NodeMetrics {
    private final Timers timers;
    private final ShardState shard;
    private final HeartbeatProcessor heartbeatProcessor;
    private final Scheduler scheduler;
    private final Leadership leadership;
    private final StateWriter stateWriter;
    private final MembershipView membership;
    private final CancellationWatermark cancellationWatermark;
    private final HeartbeatService heartbeatService;

    NodeMetrics(
            Timers timers,
            ShardState shard,
            HeartbeatProcessor heartbeatProcessor,
            Scheduler scheduler,
            Leadership leadership,
            StateWriter stateWriter,
            MembershipView membership,
            CancellationWatermark cancellationWatermark,
            HeartbeatService heartbeatService) {
        this.cancellationWatermark = cancellationWatermark;
        this.timers = timers;
        this.shard = shard;
        this.heartbeatProcessor = heartbeatProcessor;
        this.scheduler = scheduler;
        this.leadership = leadership;
        this.stateWriter = stateWriter;
        this.membership = membership;
        this.heartbeatService = heartbeatService;
    }

    Map<String, Metric> all(DoubleSupplier roundS, DoubleSupplier directCommands) {
        Map<String, Metric> f = new LinkedHashMap<>();
        f.put(
                "leading",
                Metric.gauge("1 while this node leads", () -> leadership.isLeading() ? 1 : 0));
        f.put("token", Metric.gauge("highest token known", leadership::highestFencingToken));
        f.put(
                "store.unserved",
                Metric.gauge(
                        "seconds since the state service answered",
                        leadership::secondsSinceStoreAnswered));
        f.put(
                "cancellations.known.age",
                Metric.gauge(
                        "seconds ago until when the holder knows what was cancelled; NaN"
                                + " while this node does not lead",
                        () ->
                                leadership.isLeading()
                                        ? cancellationWatermark.ageSeconds()
                                        : Double.NaN));
        f.put("jobs", Metric.gauge("jobs in the holder's memory", () -> shard.jobs().size()));
        f.put(
                "tasks.waiting",
                Metric.gauge(
                        "tasks without a machine",
                        () -> shard.jobs().values().stream().mapToInt(Job::waitingTasks).sum()));
        f.put(
                "attempts",
                Metric.gauge(
                        "attempts not proven over",
                        () ->
                                shard.jobs().values().stream()
                                        .mapToInt(job -> job.liveAttempts().size())
                                        .sum()));
        f.put("machines", Metric.gauge("machines known", () -> shard.machines().size()));
        f.put(
                "machines.starting",
                Metric.gauge(
                        "machines rented that have not reported yet",
                        () -> countMachines(machine -> !machine.hasReported())));
        f.put(
                "machines.late",
                Metric.gauge(
                        "of those, later than boots take these days",
                        () ->
                                countMachines(
                                        machine ->
                                                shard.bootTimes()
                                                        .isLate(machine, timers.nowSeconds()))));
        f.put(
                "jobs.mistaken",
                Metric.gauge(
                        "jobs that fail on every machine",
                        () ->
                                shard.jobs().values().stream()
                                        .filter(
                                                job ->
                                                        shard.failureDiagnosis()
                                                                .isJobAtFault(
                                                                        job, timers.nowSeconds()))
                                        .count()));
        f.put(
                "jobs.held",
                Metric.gauge(
                        "jobs that wait for others", () -> shard.jobDependencies().heldJobCount()));
        f.put(
                "jobs.cascade",
                Metric.gauge(
                        "jobs still to be cancelled for one that they need",
                        () -> shard.jobDependencies().jobsToCancelCount()));
        f.put(
                "jobs.narrow",
                Metric.gauge(
                        "jobs laid out in narrower parts",
                        () ->
                                shard.jobs().values().stream()
                                        .filter(job -> job.record().tasksPerPart() > 0)
                                        .count()));
        f.put(
                "store.invalid",
                Metric.counter(
                        "transactions that the state service refused for good",
                        stateWriter::rejectedTransactions));
        f.put(
                "store.oversize",
                Metric.counter(
                        "times that a record was put off as too large",
                        stateWriter::oversizeRecords));
        f.put(
                "siblings.silent",
                Metric.gauge("siblings from which nothing is heard", membership::silentCount));
        f.put(
                "machines.set.aside",
                Metric.gauge(
                        "machines set aside for failing",
                        () -> countMachines(Machine::isQuarantined)));
        f.put("checkins", Metric.counter("check-ins received", heartbeatService::receivedCount));
        f.put(
                "checkins.relayed",
                Metric.counter("check-ins relayed to the leader", heartbeatService::relayedCount));
        f.put("attempts.ended", Metric.counter("attempts proven over", shard::attemptsEnded));
        f.put(
                "attempts.lost",
                Metric.counter("attempts lost with machine or session", shard::attemptsLost));
        f.put(
                "attempts.evicted",
                Metric.counter(
                        "attempts stopped for work of more right",
                        () -> scheduler.preemption().evictions()));
        f.put(
                "attempts.evicted.for.guarantees",
                Metric.counter(
                        "of those, the ones that a guarantee was the reason for",
                        () -> scheduler.preemption().evictionsForGuarantees()));
        f.put(
                "attempts.evicted.for.large",
                Metric.counter(
                        "and the ones that made room for gangs and large tasks",
                        () -> scheduler.preemption().evictionsForGangs()));
        f.put(
                "served.least",
                Metric.gauge(
                        "the lowest share of jobs in time, of all classes, their largest jobs, and teams as of late",
                        () -> shard.serviceLevels().leastShare()));
        f.put(
                "served.least.largest",
                Metric.gauge(
                        "the lowest share of a class's largest jobs",
                        () ->
                                shard.serviceLevels().largest().values().stream()
                                        .mapToDouble(ServiceLevels.ServiceGroup::share)
                                        .min()
                                        .orElse(1)));
        f.put(
                "jobs.missed",
                Metric.counter(
                        "jobs that were not done by the last time expected of them",
                        () ->
                                shard.serviceLevels().classes().values().stream()
                                        .mapToLong(ServiceLevels.ServiceGroup::missed)
                                        .sum()));
        f.put(
                "direct.commands",
                Metric.counter("machines told directly to stop tasks", directCommands));
        f.put(
                "probes",
                Metric.counter("machines probed", () -> scheduler.probePlacement().probeCount()));
        f.put(
                "probes.passed",
                Metric.counter(
                        "probes that passed", () -> scheduler.probePlacement().passedProbeCount()));
        f.put(
                "scans",
                Metric.counter("scans of the block", () -> scheduler.probePlacement().scanCount()));
        f.put(
                "attempts.launched",
                Metric.counter("launch orders given", heartbeatProcessor::launchCount));
        f.put(
                "attempts.launch.delay",
                Metric.counter(
                        "seconds from placings to their launch orders, added up",
                        heartbeatProcessor::launchDelaySeconds));
        f.put("rounds.time", Metric.counter("seconds spent in placing and writing down", roundS));
        f.put(
                "store.records",
                Metric.counter("records written by the holder", stateWriter::recordsSent));
        f.put(
                "store.rounds",
                Metric.counter(
                        "transactions written by the holder", stateWriter::transactionsSent));
        return f;
    }

    private long countMachines(Predicate<Machine> which) {
        return shard.machines().values().stream().filter(which).count();
    }

    /** One line for the log that sums up the block. */
    static String summary(
            ShardState shard, HeartbeatProcessor heartbeatProcessor, Scheduler scheduler) {
        Map<String, int[]> classes = new TreeMap<>();
        for (Job job : shard.jobs().values()) {
            int[] c = classes.computeIfAbsent(job.spec.jobClass(), key -> new int[3]);
            c[0]++;
            c[1] += job.waitingTasks();
            c[2] += job.liveAttempts().size();
        }
        StringBuilder text = new StringBuilder("block:");
        classes.forEach(
                (key, c) ->
                        text.append(' ')
                                .append(key)
                                .append(" jobs=")
                                .append(c[0])
                                .append(" waiting=")
                                .append(c[1])
                                .append(" placed=")
                                .append(c[2])
                                .append(';'));
        int[] n = new int[6];
        double used = 0;
        for (Machine machine : shard.machines().values()) {
            n[machine.isSpot() ? 1 : 0]++;
            n[2] += machine.isTokenConfirmed() ? 0 : 1;
            n[3] += machine.isQuarantined() ? 1 : 0;
            n[4] += machine.isBusy() ? 0 : 1;
            n[5] += machine.reservedFor() != null ? 1 : 0;
            used += machine.usedCpus();
        }
        shard.serviceLevels()
                .classes()
                .forEach(
                        (key, group) ->
                                text.append(" served ")
                                        .append(key)
                                        .append('=')
                                        .append(group.inTime())
                                        .append('/')
                                        .append(group.inTime() + group.missed())
                                        .append('/')
                                        .append(group.submitted()));
        return text.append(" machines ordinary=")
                .append(n[0])
                .append(" spot=")
                .append(n[1])
                .append(" unproven=")
                .append(n[2])
                .append(" aside=")
                .append(n[3])
                .append(" idle=")
                .append(n[4])
                .append(" reserved=")
                .append(n[5])
                .append(" cpus=")
                .append(Math.round(used))
                .append(" evicted=")
                .append(scheduler.preemption().evictions())
                .append('/')
                .append(scheduler.preemption().evictionsForGuarantees())
                .append('/')
                .append(scheduler.preemption().evictionsForGangs())
                .append(" lost=")
                .append(shard.attemptsLost())
                .append(" launched=")
                .append(heartbeatProcessor.launchCount())
                .append(" after=")
                .append(
                        String.format(
                                "%.2f",
                                heartbeatProcessor.launchDelaySeconds()
                                        / Math.max(1, heartbeatProcessor.launchCount())))
                .toString();
    }
}
