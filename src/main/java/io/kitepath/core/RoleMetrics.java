package io.kitepath.core;

import io.kitepath.core.model.LoopTimeAccounting;
import io.kitepath.core.model.LoopTimeAccounting.Activity;
import io.kitepath.core.model.Metric;
import io.kitepath.core.role.CloudIntentExecutor;
import io.kitepath.core.role.CloudIntents;
import io.kitepath.core.role.GarbageCollector;
import io.kitepath.core.role.LeasedRoles;
import java.util.Locale;
import java.util.Map;

/** What a node counts about duties, takeovers and its own time, for operators. */
record RoleMetrics(
        CloudIntents cloudIntents,
        CloudIntentExecutor intentExecutor,
        GarbageCollector garbageCollector,
        LeasedRoles roles,
        FailoverTimings failoverTimings,
        LoopTimeAccounting loopTime) {
    void addTo(Map<String, Metric> f) {
        f.put(
                "intents.asked",
                Metric.counter(
                        "rentals and returns put down by this node", cloudIntents::requestedCount));
        f.put(
                "intents.taken.over",
                Metric.counter(
                        "and those that it took over from earlier holders",
                        cloudIntents::adoptedCount));
        f.put(
                "intents.backlog",
                Metric.gauge(
                        "rentals and returns that the cloud has not settled",
                        cloudIntents::backlog));
        f.put(
                "duty.cloud.calls",
                Metric.counter(
                        "rentals and returns asked of the cloud by this node",
                        intentExecutor::callCount));
        f.put(
                "duty.cloud.failed",
                Metric.counter(
                        "of those, refused or not answered", intentExecutor::failedCallCount));
        f.put(
                "duty.fenced",
                Metric.counter(
                        "times that nothing was done since the lease of duties was not certain",
                        roles::fencedCount));
        f.put(
                "cleanup.looks",
                Metric.counter(
                        "times that this node looked through the state service",
                        garbageCollector::completedScans));
        f.put(
                "cleanup.removed",
                Metric.counter("records that it removed there", garbageCollector::removedCount));
        f.put(
                "cleanup.strange",
                Metric.gauge(
                        "records that should not be, by its last look",
                        garbageCollector::inconsistentCount));
        for (LeasedRoles.Role role : roles.roles()) {
            f.put(
                    "duty." + role.name() + ".here",
                    Metric.gauge(
                            "whether this node has the duty", () -> role.isHeldHere() ? 1 : 0));
            f.put(
                    "duty." + role.name() + ".token",
                    Metric.gauge("the token of whoever has it", role::fencingToken));
            f.put(
                    "duty." + role.name() + ".hand.overs",
                    Metric.counter("times that it was seen to change hands", role::handOvers));
        }
        f.put(
                "takeover.read",
                Metric.gauge(
                        "seconds from winning the lease until the jobs were read",
                        failoverTimings::secondsToJobsRead));
        f.put(
                "takeover.reported",
                Metric.gauge(
                        "seconds from winning the lease until nearly all machines had reported",
                        failoverTimings::secondsToMostReported));
        for (Activity on : Activity.values()) {
            f.put(
                    "time." + on.name().toLowerCase(Locale.ROOT).replace('_', '.'),
                    Metric.counter(
                            "seconds of the event loop, by activity", () -> loopTime.seconds(on)));
        }
    }
}
