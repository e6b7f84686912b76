package io.kitepath.core.model;

import java.util.List;

/**
 * The messages between cells. None of them is trusted for safety: each side acts on its own store's
 * records only.
 *
 * <p>Loans and quota grants have numbers that their sender never gives twice; {@code
 * lowestOpenNumber} tells the other side that all lower ones are settled, so that it may forget
 * them.
 */
public sealed interface CellMessage {
    /**
     * Ask another node.
     *
     * @param node the leader of the answering cell, or null if none is known
     */
    record Redirect(String node) implements CellMessage {}

    /**
     * Free capacity on machines of one kind.
     *
     * @param idleMachines machines that nothing runs on
     */
    record FreeCapacity(
            MachineKind kind, double cpus, double gpus, double memoryGigabytes, int idleMachines) {}

    /**
     * A cell's state, answered by the other cell's.
     *
     * @param leader its leader's node
     * @param directoryVersion the version of its cell directory
     * @param acceptsLoans whether it accepts tasks of others now
     * @param freeCapacity by kind, the largest first, a bounded number
     * @param queueSecondsByRank by priority rank: for how many seconds the work waiting up to that
     *     rank would keep all its machines busy
     * @param reachableCells the cells that it has heard of lately
     * @param quotaShares those that it wants most of first, a bounded number
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
     * A cell's share of a team's quota; amounts in thousandths of a CPU or GPU.
     *
     * @param resourceKind 0: CPUs, 1: GPUs
     * @param held its share, used or not
     * @param used by attempts that are not proven over
     * @param wanted what it could use at once beyond that
     * @param nextJobNeed what the first job that waits needs at once
     * @param nextTaskNeed what one task of that job needs
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
     * Hands over a part of a team's quota, once.
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

    /** The grant is recorded in the receiving cell's store. */
    record QuotaGrantAccepted(long grantNumber) implements CellMessage {}

    /**
     * Offers tasks of a job to another cell.
     *
     * @param homeCell the job's home, which offers them
     * @param submittedMillis when the job was submitted, in milliseconds since 1970
     * @param firstTask the first task
     * @param endTask the one after the last
     * @param nextAttempt the number that the next attempt gets
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
     * Asks for a loan back.
     *
     * @param kill whether all its tasks are to be stopped for good; otherwise those that have
     *     started may go on
     */
    record LoanRecall(String homeCell, long loanNumber, long lowestOpenNumber, boolean kill)
            implements CellMessage {}

    /**
     * The state of a loan. All but {@link #TAKEN} are final, and recorded before they are told. The
     * names are part of stored records.
     */
    enum LoanState {
        /** The other cell runs its tasks. */
        TAKEN,
        /** All its tasks are done. */
        DONE,
        /** Given back: what is not done is the home's to place again. */
        BACK,
        /** Stopped for good. */
        KILLED,
        /** Never taken, and never will be. */
        VOID
    }

    /**
     * A loan's state, told by the cell that it was offered to.
     *
     * @param doneTasks a bit set of the tasks that are done, from the first one of the loan
     * @param nextAttempt the number that the job's next attempt must have at least
     */
    record LoanStatus(
            String cell, long loanNumber, LoanState state, byte[] doneTasks, long nextAttempt)
            implements CellMessage {}

    /** The home has recorded that the loan is over: the other cell may forget it. */
    record LoanSettled(long loanNumber, long lowestOpenNumber) implements CellMessage {}

    /**
     * A user's request about a job whose home is the cell that receives this.
     *
     * @param spec for {@link RequestKind#SUBMIT} only, otherwise null
     */
    record UserRequest(RequestKind kind, String jobId, JobSpec spec) implements CellMessage {}

    /** What a user wants. */
    enum RequestKind {
        SUBMIT,
        STATUS,
        CANCEL
    }

    /**
     * The answer for the user.
     *
     * @param verdict the name of the verdict that the home's own nodes would answer
     * @param status the job's, or null
     */
    record UserResponse(String verdict, JobStatus status) implements CellMessage {}
}
