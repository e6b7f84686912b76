package io.kitepath.core.model;

import java.util.List;

/**
 * What cells say to each other. None of it is trusted for safety: each side acts on its own store's
 * records.
 */
public sealed interface CellMessage {
    /** Ask that node of the cell, its holder; null: nobody is known to be. */
    record Redirect(String node) implements CellMessage {}

    /** Free room on machines of one kind. {@code idleMachines}: machines that nothing runs on. */
    record FreeCapacity(
            MachineKind kind, double cpus, double gpus, double memoryGigabytes, int idleMachines) {}

    /**
     * A cell about itself; answered by the other's.
     *
     * @param leader its holder's node
     * @param directoryVersion of its directory
     * @param acceptsLoans whether it takes work of others now
     * @param freeCapacity by kind, the most roomy ones first, a bounded number
     * @param queueSecondsByRank by rank: seconds that the work waiting up to that rank would keep
     *     all its machines busy
     * @param reachableCells the cells that it has heard lately
     * @param quotaShares of the teams' limits, those that it wants most of first, a bounded number
     */
    record Summary(
            String cell,
            String leader,
            long directoryVersion,
            boolean acceptsLoans,
            List<FreeCapacity> freeCapacity,
            List<Double> queueSecondsByRank,
            List<String> reachableCells,
            List<QuotaShare> quotaShares)
            implements CellMessage {}

    /**
     * What a cell has of a team's limit; amounts in thousandths of a CPU or GPU.
     *
     * @param resourceKind 0: CPUs, 1: GPUs
     * @param held its share, used or not
     * @param used what its attempts that are not proven over take
     * @param wanted what it could use at once beyond that
     * @param nextJobNeed what the first job that waits needs at once
     * @param nextTaskNeed what one task of that job needs
     * @param nextJobSubmittedMillis when that was submitted, in milliseconds since 1970
     */
    record QuotaShare(
            String team,
            int resourceKind,
            long held,
            long used,
            long wanted,
            long nextJobNeed,
            long nextTaskNeed,
            double nextJobSubmittedMillis) {}

    /** A part of a team's limit goes over, under a number that can be taken once. */
    record QuotaGrant(
            String fromCell,
            long grantNumber,
            long lowestOpenNumber,
            String team,
            int resourceKind,
            long amount)
            implements CellMessage {}

    /** The other cell's store has it. */
    record QuotaGrantAccepted(long grantNumber) implements CellMessage {}

    /**
     * Take these tasks of a job, under a number that its home never gives twice.
     *
     * @param lowestOpenNumber no number of that home to this cell below this one is out any more
     * @param firstTask the first task
     * @param endTask the one after the last
     * @param nextAttempt the next attempt's number
     */
    record LoanOffer(
            String homeCell,
            long loanNumber,
            long lowestOpenNumber,
            JobSpec spec,
            double submittedMillis,
            int firstTask,
            int endTask,
            long nextAttempt)
            implements CellMessage {}

    /** Give back what can be given back, or stop all of it for good. */
    record LoanRecall(String homeCell, long loanNumber, long lowestOpenNumber, boolean kill)
            implements CellMessage {}

    /**
     * How a loan stands. All but {@link LoanState#TAKEN} are final, written before they are said.
     */
    enum LoanState {
        TAKEN,
        DONE,
        BACK,
        KILLED,
        VOID
    }

    /**
     * The cell that a loan was offered to says how it stands.
     *
     * @param doneTasks the loan's tasks that are done, by number from the first of the loan
     * @param nextAttempt the number that the job's next attempt must have at least
     */
    record LoanStatus(
            String cell, long loanNumber, LoanState state, byte[] doneTasks, long nextAttempt)
            implements CellMessage {}

    /** The home has it that the loan is over: the other cell may forget it. */
    record LoanSettled(long loanNumber, long lowestOpenNumber) implements CellMessage {}

    /**
     * What a user asks of a job whose home is the cell that gets this. {@code spec}: only to
     * submit.
     */
    record UserRequest(RequestKind kind, String jobId, JobSpec spec) implements CellMessage {}

    enum RequestKind {
        SUBMIT,
        STATUS,
        CANCEL
    }

    /** {@code verdict}: by name, as the home's own nodes would answer. */
    record UserResponse(String verdict, JobStatus status) implements CellMessage {}
}
