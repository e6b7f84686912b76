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
        Optional<String> loans = describeLoans(job, now);
        if (job.isCancelRequested()) {
            return Optional.of(
                    "is to be cancelled"
                            + loans.map(text -> " once it is called back: " + text).orElse(""));
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
        int waiting = job.waitingTasks();
        if (waiting == 0) {
            return loans.or(() -> describeImageFetch(job));
        }
        return Optional.of(describeWaitingTasks(job, waiting));
    }

    private static String describeFailures(Job job, double now) {
        return "fails on every machine it was tried on, "
                + job.failureHistory.failureCount()
                + " times so far"
                + (job.notBefore() > now
                        ? "; tried again in " + formatSeconds(job.notBefore() - now)
                        : "");
    }

    private String describeWaitingTasks(Job job, int waiting) {
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
        return tasks
                + " for room of "
                + spec.cpusPerTask()
                + " CPUs"
                + (spec.isGang() ? " each, all at once" : " each")
                + describeComingMachines();
    }

    private String describeComingMachines() {
        int starting = 0;
        int unconfirmed = 0;
        for (Machine machine : shard.machines().values()) {
            starting += machine.hasReported() || !machine.attempts().isEmpty() ? 0 : 1;
            unconfirmed += machine.hasReported() && !machine.isTokenConfirmed() ? 1 : 0;
        }
        return (starting > 0 ? "; machines starting: " + starting : "")
                + (unconfirmed > 0
                        ? "; machines yet to report to the new leader: " + unconfirmed
                        : "");
    }

    private static String describeDependencies(Job job) {
        int count = job.unmetDependencies.size();
        return String.join(
                        ", ", job.unmetDependencies.stream().limit(MAX_NAMED_DEPENDENCIES).toList())
                + (count > MAX_NAMED_DEPENDENCIES
                        ? " and " + (count - MAX_NAMED_DEPENDENCIES) + " more"
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
        long fetching =
                job.liveAttempts.values().stream()
                        .filter(attempt -> attempt.state == TaskState.FETCHING_IMAGE)
                        .count();
        if (fetching == 0) {
            return Optional.empty();
        }
        String tasks = fetching == 1 ? "1 task fetches" : fetching + " tasks fetch";
        return Optional.of(tasks + " the image " + job.spec.image());
    }

    private static String formatSeconds(double seconds) {
        return Math.max(1, Math.round(seconds)) + " s";
    }
}
