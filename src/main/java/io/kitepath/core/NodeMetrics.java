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
    private final ShardState block;
    private final HeartbeatProcessor heartbeats;
    private final Scheduler placer;
    private final Leadership leadership;
    private final StateWriter keeper;
    private final MembershipView views;
    private final CancellationWatermark known;
    private final HeartbeatService desk;

    NodeMetrics(
            Timers timers,
            ShardState block,
            HeartbeatProcessor heartbeats,
            Scheduler placer,
            Leadership leadership,
            StateWriter keeper,
            MembershipView views,
            CancellationWatermark known,
            HeartbeatService desk) {
        this.known = known;
        this.timers = timers;
        this.block = block;
        this.heartbeats = heartbeats;
        this.placer = placer;
        this.leadership = leadership;
        this.keeper = keeper;
        this.views = views;
        this.desk = desk;
    }

    Map<String, Metric> all(DoubleSupplier roundS, DoubleSupplier directCommands) {
        Map<String, Metric> f = new LinkedHashMap<>();
        f.put("leading", Metric.now("1 while this node leads", () -> leadership.leading() ? 1 : 0));
        f.put("token", Metric.now("highest token known", leadership::highest));
        f.put(
                "store.unserved",
                Metric.now("seconds since the state service answered", leadership::unservedS));
        f.put(
                "cancellations.known.age",
                Metric.now(
                        "seconds ago until when the holder knows what was cancelled; NaN"
                                + " while this node does not lead",
                        () -> leadership.leading() ? known.ageS() : Double.NaN));
        f.put("jobs", Metric.now("jobs in the holder's memory", () -> block.jobs().size()));
        f.put(
                "tasks.waiting",
                Metric.now(
                        "tasks without a machine",
                        () -> block.jobs().values().stream().mapToInt(Job::waiting).sum()));
        f.put(
                "attempts",
                Metric.now(
                        "attempts not proven over",
                        () -> block.jobs().values().stream().mapToInt(j -> j.live().size()).sum()));
        f.put("machines", Metric.now("machines known", () -> block.machines().size()));
        f.put(
                "machines.starting",
                Metric.now(
                        "machines rented that have not reported yet",
                        () -> machines(m -> !m.reported())));
        f.put(
                "machines.late",
                Metric.now(
                        "of those, later than boots take these days",
                        () -> machines(m -> block.boots().late(m, timers.now()))));
        f.put(
                "jobs.mistaken",
                Metric.now(
                        "jobs that fail on every machine",
                        () ->
                                block.jobs().values().stream()
                                        .filter(j -> block.failures().mistaken(j, timers.now()))
                                        .count()));
        f.put("jobs.held", Metric.now("jobs that wait for others", () -> block.pipelines().held()));
        f.put(
                "jobs.cascade",
                Metric.now(
                        "jobs still to be cancelled for one that they need",
                        () -> block.pipelines().cascade()));
        f.put(
                "jobs.narrow",
                Metric.now(
                        "jobs laid out in narrower parts",
                        () ->
                                block.jobs().values().stream()
                                        .filter(j -> j.record().partTasks() > 0)
                                        .count()));
        f.put(
                "store.invalid",
                Metric.total(
                        "transactions that the state service refused for good", keeper::invalid));
        f.put(
                "store.oversize",
                Metric.total("times that a record was put off as too large", keeper::oversize));
        f.put(
                "siblings.silent",
                Metric.now("siblings from which nothing is heard", views::silentOnes));
        f.put(
                "machines.set.aside",
                Metric.now("machines set aside for failing", () -> machines(Machine::setAside)));
        f.put("checkins", Metric.total("check-ins received", desk::received));
        f.put("checkins.relayed", Metric.total("check-ins relayed to the leader", desk::relayed));
        f.put("attempts.ended", Metric.total("attempts proven over", block::ends));
        f.put("attempts.lost", Metric.total("attempts lost with machine or session", block::lost));
        f.put(
                "attempts.evicted",
                Metric.total(
                        "attempts stopped for work of more right",
                        () -> placer.preemption().evictions()));
        f.put(
                "attempts.evicted.for.guarantees",
                Metric.total(
                        "of those, the ones that a guarantee was the reason for",
                        () -> placer.preemption().forGuarantees()));
        f.put(
                "attempts.evicted.for.large",
                Metric.total(
                        "and the ones that made room for gangs and large tasks",
                        () -> placer.preemption().forGangs()));
        f.put(
                "served.least",
                Metric.now(
                        "the lowest share of jobs in time, of all classes, their largest jobs, and teams as of late",
                        () -> block.served().leastShare()));
        f.put(
                "served.least.largest",
                Metric.now(
                        "the lowest share of a class's largest jobs",
                        () ->
                                block.served().largest().values().stream()
                                        .mapToDouble(ServiceLevels.ServiceGroup::share)
                                        .min()
                                        .orElse(1)));
        f.put(
                "jobs.missed",
                Metric.total(
                        "jobs that were not done by the last time expected of them",
                        () ->
                                block.served().classes().values().stream()
                                        .mapToLong(ServiceLevels.ServiceGroup::missed)
                                        .sum()));
        f.put(
                "direct.commands",
                Metric.total("machines told directly to stop tasks", directCommands));
        f.put("probes", Metric.total("machines probed", () -> placer.placement().probes()));
        f.put(
                "probes.passed",
                Metric.total("probes that passed", () -> placer.placement().passed()));
        f.put("scans", Metric.total("scans of the block", () -> placer.placement().scans()));
        f.put("attempts.launched", Metric.total("launch orders given", heartbeats::launches));
        f.put(
                "attempts.launch.delay",
                Metric.total(
                        "seconds from placings to their launch orders, added up",
                        heartbeats::launchDelayS));
        f.put("rounds.time", Metric.total("seconds spent in placing and writing down", roundS));
        f.put("store.records", Metric.total("records written by the holder", keeper::written));
        f.put("store.rounds", Metric.total("transactions written by the holder", keeper::rounds));
        return f;
    }

    private long machines(Predicate<Machine> which) {
        return block.machines().values().stream().filter(which).count();
    }

    /** One line for the log that sums up the block. */
    static String summary(ShardState block, HeartbeatProcessor heartbeats, Scheduler placer) {
        Map<String, int[]> classes = new TreeMap<>();
        for (Job j : block.jobs().values()) {
            int[] c = classes.computeIfAbsent(j.spec.jobClass(), k -> new int[3]);
            c[0]++;
            c[1] += j.waiting();
            c[2] += j.live().size();
        }
        StringBuilder b = new StringBuilder("block:");
        classes.forEach(
                (k, c) ->
                        b.append(' ')
                                .append(k)
                                .append(" jobs=")
                                .append(c[0])
                                .append(" waiting=")
                                .append(c[1])
                                .append(" placed=")
                                .append(c[2])
                                .append(';'));
        int[] n = new int[6];
        double used = 0;
        for (Machine m : block.machines().values()) {
            n[m.spot() ? 1 : 0]++;
            n[2] += m.proven() ? 0 : 1;
            n[3] += m.setAside() ? 1 : 0;
            n[4] += m.busy() ? 0 : 1;
            n[5] += m.reservedFor() != null ? 1 : 0;
            used += m.usedCpus();
        }
        block.served()
                .classes()
                .forEach(
                        (k, g) ->
                                b.append(" served ")
                                        .append(k)
                                        .append('=')
                                        .append(g.inTime())
                                        .append('/')
                                        .append(g.inTime() + g.missed())
                                        .append('/')
                                        .append(g.submitted()));
        return b.append(" machines ordinary=")
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
                .append(placer.preemption().evictions())
                .append('/')
                .append(placer.preemption().forGuarantees())
                .append('/')
                .append(placer.preemption().forGangs())
                .append(" lost=")
                .append(block.lost())
                .append(" launched=")
                .append(heartbeats.launches())
                .append(" after=")
                .append(
                        String.format(
                                "%.2f",
                                heartbeats.launchDelayS() / Math.max(1, heartbeats.launches())))
                .toString();
    }
}
