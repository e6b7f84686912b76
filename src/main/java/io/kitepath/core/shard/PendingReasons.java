package io.kitepath.core.shard;

import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.JobSpec;

/**
 * A sentence on what an unfinished job waits for, out of what the holder knows; null if there is
 * nothing to say.
 */
final class PendingReasons {
    /** Of the jobs that one waits for, those that are named. */
    private static final int MAX_NAMED_DEPENDENCIES = 5;

    private final ShardState shard;

    PendingReasons(ShardState shard) {
        this.shard = shard;
    }

    String describe(Job job, double now) {
        if (job.isFinished) {
            return null;
        }
        if (shard.failureDiagnosis().isJobAtFault(job, now)) {
            return "fails on every machine it was tried on, "
                    + job.failureCount
                    + " times so far"
                    + (job.notBefore > now
                            ? "; tried again in " + formatSeconds(job.notBefore - now)
                            : "");
        }
        String lent = describeLoans(job, now);
        if (job.isCancelRequested()) {
            return "is to be cancelled" + (lent == null ? "" : " once it is called back: " + lent);
        }
        if (job.hasCancelledDependency()) {
            return "is to be cancelled, as a job that it needs is";
        }
        if (job.isHeld()) {
            return "waits for " + describeDependencies(job);
        }
        int waiting = job.waitingTasks();
        if (waiting == 0) {
            return lent != null ? lent : describeImageFetch(job);
        }
        JobSpec spec = job.spec;
        String tasks = waiting == 1 ? "1 task waits" : waiting + " tasks wait";
        if (shard.quotaUsage().remainingTasks(spec) < (spec.isGang() ? spec.taskCount() : 1)) {
            return tasks
                    + ": team "
                    + spec.team()
                    + " is at its limit"
                    + shard.quotaUsage().describeShare(spec.team());
        }
        if (spec.isGang() && !job.liveAttempts.isEmpty()) {
            return tasks + " for the rest of the last attempt to end";
        }
        int starting = 0;
        int unheard = 0;
        for (Machine machine : shard.machines().values()) {
            starting += machine.hasReported() || !machine.attempts().isEmpty() ? 0 : 1;
            unheard += machine.hasReported() && !machine.isTokenConfirmed() ? 1 : 0;
        }
        String note =
                tasks
                        + " for room of "
                        + spec.cpusPerTask()
                        + " CPUs"
                        + (spec.isGang() ? " each, all at once" : " each");
        if (starting > 0) {
            note += "; machines starting: " + starting;
        }
        if (unheard > 0) {
            note += "; machines yet to report to the new leader: " + unheard;
        }
        return note;
    }

    private static String describeDependencies(Job job) {
        int n = job.unmetDependencies.size();
        return String.join(
                        ", ", job.unmetDependencies.stream().limit(MAX_NAMED_DEPENDENCIES).toList())
                + (n > MAX_NAMED_DEPENDENCIES
                        ? " and " + (n - MAX_NAMED_DEPENDENCIES) + " more"
                        : "")
                + " to be done";
    }

    private static String describeLoans(Job job, double now) {
        StringBuilder text = new StringBuilder();
        for (TaskLoan loan : job.loans()) {
            if (!loan.isClosed) {
                text.append(text.isEmpty() ? "" : "; ")
                        .append(loan.taskCount() == 1 ? "1 task" : loan.taskCount() + " tasks")
                        .append(loan.isAccepted ? " handed to cell " : " offered to cell ")
                        .append(loan.borrowerCell)
                        .append(' ')
                        .append(formatSeconds(now - loan.offeredAt))
                        .append(" ago");
            }
        }
        return text.isEmpty() ? null : text.toString();
    }

    private static String describeImageFetch(Job job) {
        long n =
                job.liveAttempts.values().stream()
                        .filter(attempt -> attempt.state == TaskState.FETCHING_IMAGE)
                        .count();
        return n == 0
                ? null
                : (n == 1 ? "1 task fetches" : n + " tasks fetch")
                        + " the image "
                        + job.spec.image();
    }

    private static String formatSeconds(double s) {
        return Math.max(1, Math.round(s)) + " s";
    }
}
