package io.kitepath.core.model;

import java.util.List;

/**
 * A message between cells. Safety does not depend on messages: each side acts only on the records
 * in its own store.
 *
 * <p>The sender numbers loans and quota grants and never reuses a number. {@code lowestOpenNumber}
 * states that all lower numbers are settled, so that the receiver may delete their state.
 */
public sealed interface CellMessage {
    /**
     * Redirects the sender to another node.
     *
     * @param node the leader of the responding cell, or null if it is unknown
     */
    record Redirect(String node) implements CellMessage {}

    /**
     * Free capacity on machines of one kind.
     *
     * @param idleMachines the number of machines without tasks
     */
    record FreeCapacity(
            MachineKind kind, double cpus, double gpus, double memoryGigabytes, int idleMachines) {}

    /**
     * The state of a cell. The receiver responds with the summary of its own cell.
     *
     * @param leader the node that is the cell's leader
     * @param directoryVersion the version of the sender's cell directory
     * @param acceptsLoans whether the cell currently accepts tasks of other cells
     * @param freeCapacity the free capacity by machine kind, largest first; the list is bounded
     * @param queueSecondsByRank by priority rank: the seconds for which the work waiting up to that
     *     rank would occupy all machines of the cell
     * @param reachableCells the cells from which it recently received a message
     * @param quotaShares the quota shares with the largest demand first; the list is bounded
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
     * A cell's share of a team's quota. Amounts are in thousandths of a CPU or GPU.
     *
     * @param resourceKind 0: CPUs, 1: GPUs
     * @param held the whole share, used or not
     * @param used the amount used by attempts whose end is not confirmed
     * @param wanted the further amount that the cell could use immediately
     * @param nextJobNeed the amount that the first waiting job needs at the same time
     * @param nextTaskNeed the amount that one task of that job needs
     * @param nextJobSubmittedMillis when that job was submitted, in milliseconds since 1970
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

    /**
     * Transfers a part of a team's quota to the receiving cell. A grant takes effect at most once.
     *
     * @param resourceKind 0: CPUs, 1: GPUs
     * @param amount in thousandths of a CPU or GPU
     */
    record QuotaGrant(
            String fromCell,
            long grantNumber,
            long lowestOpenNumber,
            String team,
            int resourceKind,
            long amount)
            implements CellMessage {}

    /** Confirms that the grant is recorded in the receiving cell's store. */
    record QuotaGrantAccepted(long grantNumber) implements CellMessage {}

    /**
     * Offers tasks of a job to another cell.
     *
     * @param homeCell the job's home cell, which offers the tasks
     * @param submittedMillis when the job was submitted, in milliseconds since 1970
     * @param firstTask the number of the first task offered
     * @param endTask the number after that of the last task offered
     * @param nextAttempt the number of the job's next attempt
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

    /**
     * Recalls a loan.
     *
     * @param kill whether to stop all tasks of the loan permanently; otherwise tasks that have
     *     started may continue
     */
    record LoanRecall(String homeCell, long loanNumber, long lowestOpenNumber, boolean kill)
            implements CellMessage {}

    /**
     * The state of a loan. All states but {@link #TAKEN} are final and are recorded before they are
     * sent. The names are part of stored records.
     */
    enum LoanState {
        /** The loan is accepted: the other cell runs its tasks. */
        TAKEN,
        /** All tasks of the loan are done. */
        DONE,
        /** The loan is returned: the home cell places the unfinished tasks again. */
        BACK,
        /** All tasks of the loan are stopped permanently. */
        KILLED,
        /** The loan was never accepted and never will be. */
        VOID
    }

    /**
     * Reports a loan's state. Sent by the cell to which the loan was offered.
     *
     * @param doneTasks a bit set of the done tasks; bit 0 is the first task of the loan
     * @param nextAttempt the lowest number that the job's next attempt may have
     */
    record LoanStatus(
            String cell, long loanNumber, LoanState state, byte[] doneTasks, long nextAttempt)
            implements CellMessage {}

    /**
     * Confirms that the home cell has recorded the end of the loan. The other cell may delete its
     * record.
     */
    record LoanSettled(long loanNumber, long lowestOpenNumber) implements CellMessage {}

    /**
     * A user's request about a job whose home cell is the receiving cell.
     *
     * @param spec the job to submit for {@link RequestKind#SUBMIT}, otherwise null
     */
    record UserRequest(RequestKind kind, String jobId, JobSpec spec) implements CellMessage {}

    /** The action that a user requests. */
    enum RequestKind {
        SUBMIT,
        STATUS,
        CANCEL
    }

    /**
     * The response to a user's request.
     *
     * @param verdict the name of the verdict with which the home cell's own nodes would respond
     * @param status the job's status, or null
     */
    record UserResponse(String verdict, JobStatus status) implements CellMessage {}
}
