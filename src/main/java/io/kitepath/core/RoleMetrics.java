package io.kitepath.core;

import io.kitepath.core.model.LoopTimeAccounting.Activity;
import io.kitepath.core.role.LeasedRoles;
import java.util.Locale;

/** Defines the metrics of a node's roles, its last failover, and the time of its event loop. */
final class RoleMetrics {
    private final NodeComponents node;

    RoleMetrics(NodeComponents node) {
        this.node = node;
    }

    void addTo(MetricCollector metrics) {
        addCloudIntents(metrics);
        addGarbageCollection(metrics);
        for (LeasedRoles.Role role : node.cloud.leasedRoles.roles()) {
            addRole(metrics, role);
        }
        addFailover(metrics);
        addLoopTime(metrics);
    }

    private void addCloudIntents(MetricCollector metrics) {
        metrics.counter(
                "intents.asked",
                "rentals and returns put down by this node",
                node.cloud.intents::requestedCount);
        metrics.counter(
                "intents.taken.over",
                "and those that it took over from earlier holders",
                node.cloud.intents::adoptedCount);
        metrics.gauge(
                "intents.backlog",
                "rentals and returns that the cloud has not settled",
                node.cloud.intents::unsettledCount);
        metrics.counter(
                "duty.cloud.calls",
                "rentals and returns asked of the cloud by this node",
                node.cloud.intentExecutor::callCount);
        metrics.counter(
                "duty.cloud.failed",
                "of those, refused or not answered",
                node.cloud.intentExecutor::failedCallCount);
        metrics.counter(
                "duty.fenced",
                "times that nothing was done since the lease of duties was not certain",
                node.cloud.leasedRoles::fencedCount);
    }

    private void addGarbageCollection(MetricCollector metrics) {
        metrics.counter(
                "cleanup.looks",
                "times that this node looked through the state service",
                node.cloud.garbageCollector::completedScanCount);
        metrics.counter(
                "cleanup.removed",
                "records that it removed there",
                node.cloud.garbageCollector::removedCount);
        metrics.gauge(
                "cleanup.strange",
                "records that should not be, by its last look",
                node.cloud.garbageCollector::inconsistentCount);
    }

    private static void addRole(MetricCollector metrics, LeasedRoles.Role role) {
        String prefix = "duty." + role.name();
        metrics.gauge(
                prefix + ".here",
                "whether this node has the duty",
                () -> role.isHeldHere() ? 1 : 0);
        metrics.gauge(prefix + ".token", "the token of whoever has it", role::fencingToken);
        metrics.counter(
                prefix + ".hand.overs",
                "times that it was seen to change hands",
                role::handOverCount);
    }

    private void addFailover(MetricCollector metrics) {
        metrics.gauge(
                "takeover.read",
                "seconds from winning the lease until the jobs were read",
                node.failoverTimings::secondsToJobsRead);
        metrics.gauge(
                "takeover.reported",
                "seconds from winning the lease until nearly all machines had reported",
                node.failoverTimings::secondsToMostReported);
    }

    private void addLoopTime(MetricCollector metrics) {
        for (Activity activity : Activity.values()) {
            metrics.counter(
                    "time." + activity.name().toLowerCase(Locale.ROOT).replace('_', '.'),
                    "seconds of the event loop, by activity",
                    () -> node.loopTime.seconds(activity));
        }
    }
}
