package io.kitepath.core.shard;

import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.JobSpec;
import java.util.Optional;
import java.util.StringJoiner;

/**
 * Describes to users, in one sentence, what an unfinished job waits for, as far as the shard's
 * leader knows.
 */
final class PendingReasons {
    /** The maximum number of dependencies that are named. */
    private static final int MAX_NAMED_DEPENDENCIES = 5;

    private final ShardState shard;

    PendingReasons(ShardState shard) {
        this.shard = shard;
    }

    /**
     * Describes what the job waits for; empty if there is nothing to report.
     *
     * @param now in seconds on the steady clock
     */
    Optional<String> describe(Job job, double now) {
        if (job.isFinished) {
            return Optional.empty();
        }
        if (shard.failureDiagnosis().isJobAtFault(job, now)) {
            return Optional.of(describeFailures(job, now));
        }
        Optional<String> loansText = describeLoans(job, now);
        if (job.isCancelRequested()) {
            return Optional.of(
                    "is to be cancelled"
                            + loansText.map(text -> " once it is called back: " + text).orElse(""));
        }
        if (job.hasCancelledDependency()) {
            return Optional.of("is to be cancelled, as a job that it needs is");
        }
        if (job.isUnreadable()) {
            return Optional.of("can't be placed: a record of it is damaged");
        }
        if (job.isHeld()) {
            return Optional.of("waits for " + describeDependencies(job));
        }
        int waitingTaskCount = job.waitingTasks();
        if (waitingTaskCount == 0) {
            return loansText.or(() -> describeImageFetch(job));
        }
        return Optional.of(describeWaitingTasks(job, waitingTaskCount));
    }

    private static String describeFailures(Job job, double now) {
        return "fails on every machine it was tried on, "
                + job.failureHistory.failureCount()
                + " times so far"
                + (job.notBefore() > now
                        ? "; tried again in " + formatSeconds(job.notBefore() - now)
                        : "");
    }

    private String describeWaitingTasks(Job job, int waitingTaskCount) {
        JobSpec spec = job.spec;
        String tasksText =
                waitingTaskCount == 1 ? "1 task waits" : waitingTaskCount + " tasks wait";
        if (shard.quotaUsage().remainingTasks(spec) < (spec.isGang() ? spec.taskCount() : 1)) {
            return tasksText
                    + ": team "
                    + spec.team()
                    + " is at its limit"
                    + shard.quotaUsage().describeShare(spec.team());
        }
        if (spec.isGang() && !job.liveAttempts.isEmpty()) {
            return tasksText + " for the rest of the last attempt to end";
        }
        return tasksText
                + " for room of "
                + spec.cpusPerTask()
                + " CPUs"
                + (spec.isGang() ? " each, all at once" : " each")
                + describeUnavailableMachines();
    }

    private String describeUnavailableMachines() {
        int startingCount = 0;
        int unconfirmedCount = 0;
        for (Machine machine : shard.machines().values()) {
            startingCount += machine.hasReported() || !machine.attempts().isEmpty() ? 0 : 1;
            unconfirmedCount += machine.hasReported() && !machine.isTokenConfirmed() ? 1 : 0;
        }
        return (startingCount > 0 ? "; machines starting: " + startingCount : "")
                + (unconfirmedCount > 0
                        ? "; machines yet to report to the new leader: " + unconfirmedCount
                        : "");
    }

    private static String describeDependencies(Job job) {
        int unmetCount = job.dependencyState.unmet.size();
        return String.join(
                        ", ",
                        job.dependencyState.unmet.stream().limit(MAX_NAMED_DEPENDENCIES).toList())
                + (unmetCount > MAX_NAMED_DEPENDENCIES
                        ? " and " + (unmetCount - MAX_NAMED_DEPENDENCIES) + " more"
                        : "")
                + " to be done";
    }

    private static Optional<String> describeLoans(Job job, double now) {
        StringJoiner text = new StringJoiner("; ");
        for (TaskLoan loan : job.loans()) {
            if (!loan.isClosed) {
                text.add(
                        (loan.taskCount() == 1 ? "1 task" : loan.taskCount() + " tasks")
                                + (loan.isAccepted ? " handed to cell " : " offered to cell ")
                                + loan.borrowerCell
                                + ' '
                                + formatSeconds(now - loan.offeredAt)
                                + " ago");
            }
        }
        return text.length() == 0 ? Optional.empty() : Optional.of(text.toString());
    }

    private static Optional<String> describeImageFetch(Job job) {
        long fetchingCount =
                job.liveAttempts.values().stream()
                        .filter(attempt -> attempt.state == TaskState.FETCHING_IMAGE)
                        .count();
        if (fetchingCount == 0) {
            return Optional.empty();
        }
        String tasksText = fetchingCount == 1 ? "1 task fetches" : fetchingCount + " tasks fetch";
        return Optional.of(tasksText + " the image " + job.spec.image());
    }

    private static String formatSeconds(double seconds) {
        return Math.max(1, Math.round(seconds)) + " s";
    }
}
