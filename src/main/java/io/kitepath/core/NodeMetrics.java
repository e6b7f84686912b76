package io.kitepath.core;

import io.kitepath.core.service.QueryOutcomes;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ServiceLevels;
import io.kitepath.core.shard.ShardState;
import java.util.Locale;
import java.util.function.Predicate;

/** Defines the metrics of a node's leadership, shard, workers and store. */
final class NodeMetrics {
    private final NodeComponents node;
    private final ShardState shard;

    NodeMetrics(NodeComponents node) {
        this.node = node;
        this.shard = node.shard;
    }

    void addTo(MetricCollector metrics) {
        addLeadership(metrics);
        addShard(metrics);
        addWaitingJobs(metrics);
        addFaults(metrics);
        addHeartbeats(metrics);
        addAttempts(metrics);
        addServiceLevels(metrics);
        addScheduling(metrics);
        addWrites(metrics);
        addStatusQueries(metrics);
    }

    private void addLeadership(MetricCollector metrics) {
        metrics.gauge(
                "leading", "1 while this node leads", () -> node.leadership.isLeading() ? 1 : 0);
        metrics.gauge("token", "highest token known", node.leadership::highestFencingToken);
        metrics.gauge(
                "store.unserved",
                "seconds since the state service answered",
                node.leadership::secondsSinceStoreResponse);
        metrics.gauge(
                "cancellations.known.age",
                "seconds ago until when the holder knows what was cancelled; NaN"
                        + " while this node does not lead",
                () ->
                        node.leadership.isLeading()
                                ? node.cancellationWatermark.ageSeconds()
                                : Double.NaN);
        metrics.gauge(
                "dependencies.known.age",
                "seconds ago until when the holder knows, by the state service, which jobs that"
                        + " others need were cancelled; NaN while this node does not lead",
                () ->
                        node.leadership.isLeading()
                                ? node.shard
                                        .jobDependencies()
                                        .watermarkAgeSeconds(node.timers.wallClockMillis())
                                : Double.NaN);
    }

    private void addShard(MetricCollector metrics) {
        metrics.gauge("jobs", "jobs in the holder's memory", () -> shard.jobs().size());
        metrics.gauge(
                "tasks.waiting",
                "tasks without a machine",
                () -> shard.jobs().values().stream().mapToInt(Job::waitingTasks).sum());
        metrics.gauge(
                "attempts",
                "attempts not proven over",
                () ->
                        shard.jobs().values().stream()
                                .mapToInt(job -> job.liveAttempts().size())
                                .sum());
        metrics.gauge("machines", "machines known", () -> shard.machines().size());
        metrics.gauge(
                "machines.starting",
                "machines rented that have not reported yet",
                () -> countMachines(machine -> !machine.hasReported()));
        metrics.gauge(
                "machines.late",
                "of those, later than boots take these days",
                () ->
                        countMachines(
                                machine ->
                                        shard.bootTimes()
                                                .isBootLate(machine, node.timers.nowSeconds())));
    }

    private void addWaitingJobs(MetricCollector metrics) {
        metrics.gauge(
                "jobs.mistaken",
                "jobs that fail on every machine",
                () -> countJobs(this::isJobAtFault));
        metrics.gauge(
                "jobs.held",
                "jobs that wait for others",
                () -> shard.jobDependencies().heldJobCount());
        metrics.gauge(
                "jobs.unresolved",
                "waiting jobs of which it is not known whether one that they need was cancelled",
                () -> shard.jobDependencies().unresolvedJobCount());
        metrics.gauge(
                "jobs.cascade",
                "jobs still to be cancelled for one that they need",
                () -> shard.jobDependencies().jobsToCancelCount());
        metrics.gauge(
                "jobs.narrow",
                "jobs laid out in narrower parts",
                () -> countJobs(job -> job.record().tasksPerPart() > 0));
    }

    private void addFaults(MetricCollector metrics) {
        metrics.counter(
                "store.invalid",
                "transactions that the state service refused for good",
                node.stateWriter::invalidTransactions);
        metrics.counter(
                "store.oversize",
                "times that a record was put off as too large",
                node.stateWriter::oversizeRecords);
        metrics.gauge(
                "siblings.silent",
                "siblings from which nothing is heard",
                node.membership::silentCount);
        metrics.gauge(
                "machines.set.aside",
                "machines set aside for failing",
                () -> countMachines(Machine::isQuarantined));
    }

    private void addHeartbeats(MetricCollector metrics) {
        metrics.counter("checkins", "check-ins received", node.heartbeatService::receivedCount);
        metrics.counter(
                "checkins.relayed",
                "check-ins relayed to the leader",
                node.heartbeatService::relayedCount);
    }

    private void addAttempts(MetricCollector metrics) {
        metrics.counter("attempts.ended", "attempts proven over", shard::attemptsEnded);
        metrics.counter(
                "attempts.lost", "attempts lost with machine or session", shard::attemptsLost);
        metrics.counter(
                "attempts.evicted",
                "attempts stopped for work of more right",
                () -> node.scheduler.preemption().evictions());
        metrics.counter(
                "attempts.evicted.for.guarantees",
                "of those, the ones that a guarantee was the reason for",
                () -> node.scheduler.preemption().evictionsForGuarantees());
        metrics.counter(
                "attempts.evicted.for.large",
                "and the ones that made room for gangs and large tasks",
                () -> node.scheduler.preemption().evictionsForLargeJobs());
    }

    private void addServiceLevels(MetricCollector metrics) {
        metrics.gauge(
                "served.least",
                "the lowest share of jobs in time, of all classes, their largest jobs, and teams"
                        + " as of late",
                () -> shard.serviceLevels().lowestShare());
        metrics.gauge(
                "served.least.largest",
                "the lowest share of a class's largest jobs",
                () ->
                        shard.serviceLevels().largestJobs().values().stream()
                                .mapToDouble(ServiceLevels.ServiceGroup::goalsMetShare)
                                .min()
                                .orElse(1));
        metrics.counter(
                "jobs.missed",
                "jobs that were not done by the last time expected of them",
                () ->
                        shard.serviceLevels().classes().values().stream()
                                .mapToLong(ServiceLevels.ServiceGroup::goalsMissed)
                                .sum());
    }

    private void addScheduling(MetricCollector metrics) {
        metrics.counter(
                "direct.commands",
                "machines told directly to stop tasks",
                node.directStopCommands::sentRequests);
        metrics.counter(
                "probes", "machines probed", () -> node.scheduler.probePlacement().probeCount());
        metrics.counter(
                "probes.passed",
                "probes that passed",
                () -> node.scheduler.probePlacement().passedProbeCount());
        metrics.counter(
                "scans", "scans of the block", () -> node.scheduler.probePlacement().scanCount());
        metrics.counter(
                "attempts.launched", "launch orders given", node.heartbeatProcessor::launchCount);
        metrics.counter(
                "attempts.launch.delay",
                "seconds from placings to their launch orders, added up",
                node.heartbeatProcessor::launchDelaySeconds);
        metrics.counter(
                "rounds.time",
                "seconds spent in placing and writing down",
                node.roundRunner::totalRoundSeconds);
    }

    private void addWrites(MetricCollector metrics) {
        metrics.counter(
                "store.records", "records written by the holder", node.stateWriter::recordsSent);
        metrics.counter(
                "store.rounds",
                "transactions written by the holder",
                node.stateWriter::transactionsSent);
    }

    private void addStatusQueries(MetricCollector metrics) {
        QueryOutcomes outcomes = node.submissions.queryOutcomes();
        for (QueryOutcomes.UnansweredReason reason : QueryOutcomes.UnansweredReason.values()) {
            metrics.counter(
                    "queries.unanswered." + reason.name().toLowerCase(Locale.ROOT),
                    "status queries without an answer for that reason",
                    () -> outcomes.unansweredCount(reason));
        }
        metrics.gauge(
                "queries.unanswered.longest",
                "seconds for which a job has been asked about in vain, the longest one",
                outcomes::longestUnansweredSeconds);
        metrics.counter(
                "invariant.unanswered",
                "times that a job was unanswered for too long while the state service answered",
                outcomes::overdueCount);
    }

    private boolean isJobAtFault(Job job) {
        return shard.failureDiagnosis().isJobAtFault(job, node.timers.nowSeconds());
    }

    private long countJobs(Predicate<Job> predicate) {
        return shard.jobs().values().stream().filter(predicate).count();
    }

    private long countMachines(Predicate<Machine> predicate) {
        return shard.machines().values().stream().filter(predicate).count();
    }
}
