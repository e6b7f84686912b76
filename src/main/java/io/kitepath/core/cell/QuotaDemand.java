package io.kitepath.core.cell;

import io.kitepath.core.model.CellMessage.QuotaShare;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What this cell's summary says of its shares: how much it holds, uses and could use beyond. */
final class QuotaDemand {
    /** Shares in a summary, which has to stay small: those of which most is wanted. */
    private static final int MAX_SHARES_IN_SUMMARY = 64;

    private final ShardState shard;
    private final TeamShares shares;

    QuotaDemand(ShardState shard, TeamShares shares) {
        this.shard = shard;
        this.shares = shares;
    }

    /** {@code free}: thousandths free on this cell's machines, by resource kind. */
    List<QuotaShare> summaryRows(long[] free) {
        Map<String, List<Job>> waitingJobs = waitingJobsByTeam();
        Map<String, QuotaShare> rows = new HashMap<>();
        for (ClusterSettings.Team team : shard.settings().teams().values()) {
            List<Job> waiting = waitingJobs.getOrDefault(team.name(), List.of());
            for (int kind = 0; kind < TeamShare.RESOURCE_KINDS; kind++) {
                if (TeamShares.configuredShare(team, kind) != TeamShare.UNLIMITED) {
                    rows.put(team.name() + kind, row(team, kind, waiting, free[kind]));
                }
            }
        }
        List<QuotaShare> sorted = new ArrayList<>(rows.values());
        sorted.sort(
                Comparator.comparingLong((QuotaShare share) -> -share.wanted())
                        .thenComparing(QuotaShare::team));
        return sorted.size() > MAX_SHARES_IN_SUMMARY
                ? new ArrayList<>(sorted.subList(0, MAX_SHARES_IN_SUMMARY))
                : sorted;
    }

    private Map<String, List<Job>> waitingJobsByTeam() {
        Map<String, List<Job>> waiting = new HashMap<>();
        for (Job job : shard.jobs().values()) {
            if (job.waitingTasks() > 0) {
                waiting.computeIfAbsent(job.spec.team(), team -> new ArrayList<>()).add(job);
            }
        }
        return waiting;
    }

    private QuotaShare row(ClusterSettings.Team team, int kind, List<Job> waiting, long free) {
        long wanted = 0;
        Job first = null;
        for (Job job : waiting) {
            wanted += need(job.spec, kind, job.waitingTasks());
            if (need(job.spec, kind, 1) > 0 && (first == null || isOlder(job, first))) {
                first = job;
            }
        }
        long firstJobNeed =
                first == null
                        ? 0
                        : need(first.spec, kind, first.spec.isGang() ? first.waitingTasks() : 1);
        // What the machines here have no room for is of no use to this cell.
        wanted = free < firstJobNeed ? 0 : Math.min(wanted, free);
        return new QuotaShare(
                team.name(),
                kind,
                shares.currentShare(team, kind),
                shares.used(team.name(), kind),
                wanted,
                firstJobNeed,
                first == null ? 0 : need(first.spec, kind, 1),
                first == null ? 0 : first.submittedMillis);
    }

    private static boolean isOlder(Job job, Job than) {
        return job.submittedMillis < than.submittedMillis
                || job.submittedMillis == than.submittedMillis
                        && job.spec.id().compareTo(than.spec.id()) < 0;
    }

    private static long need(JobSpec spec, int kind, int tasks) {
        double perTask = kind == TeamShare.CPUS ? spec.cpusPerTask() : spec.gpusPerTask();
        return TeamShares.thousandthsRoundedUp(perTask * 1000 * tasks);
    }
}
