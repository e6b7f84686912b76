package io.kitepath.core.model;

import java.util.List;

/**
 * What cells say to each other. None of it is trusted for safety: each side acts on its own store's
 * records.
 */
public sealed interface CellMessage {
    /** Ask that node of the cell, its holder; null: nobody is known to be. */
    record Redirect(String node) implements CellMessage {}

    /** Free room on machines of one kind. {@code idle}: machines that nothing runs on. */
    record FreeCapacity(MachineKind kind, double cpus, double gpus, double memoryGb, int idle) {}

    /**
     * A cell about itself; answered by the other's.
     *
     * @param leader its holder's node
     * @param version of its directory
     * @param takes whether it takes work of others now
     * @param room by kind, the most roomy ones first, a bounded number
     * @param waitS by rank: seconds that the work waiting up to that rank would keep all its
     *     machines busy
     * @param hears the cells that it has heard lately
     * @param shares of the teams' limits, those that it wants most of first, a bounded number
     */
    record Summary(
            String cell,
            String leader,
            long version,
            boolean takes,
            List<FreeCapacity> room,
            List<Double> waitS,
            List<String> hears,
            List<QuotaShare> shares)
            implements CellMessage {}

    /**
     * What a cell has of a team's limit; amounts in thousandths of a CPU or GPU.
     *
     * @param kind 0: CPUs, 1: GPUs
     * @param holds its share, used or not
     * @param used what its attempts that are not proven over take
     * @param wants what it could use at once beyond that
     * @param head what the first job that waits needs at once
     * @param task what one task of that job needs
     * @param since when that was submitted, in milliseconds since 1970
     */
    record QuotaShare(
            String team,
            int kind,
            long holds,
            long used,
            long wants,
            long head,
            long task,
            double since) {}

    /** A part of a team's limit goes over, under a number that can be taken once. */
    record QuotaGrant(String from, long number, long floor, String team, int kind, long amount)
            implements CellMessage {}

    /** The other cell's store has it. */
    record QuotaGrantAccepted(long number) implements CellMessage {}

    /**
     * Take these tasks of a job, under a number that its home never gives twice.
     *
     * @param floor no number of that home to this cell below this one is out any more
     * @param from the first task
     * @param until the one after the last
     * @param next the next attempt's number
     */
    record LoanOffer(
            String home,
            long number,
            long floor,
            JobSpec job,
            double submittedMs,
            int from,
            int until,
            long next)
            implements CellMessage {}

    /** Give back what can be given back, or stop all of it for good. */
    record LoanRecall(String home, long number, long floor, boolean kill) implements CellMessage {}

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
     * @param done the loan's tasks that are done, by number from the first of the loan
     * @param next the number that the job's next attempt must have at least
     */
    record LoanStatus(String cell, long number, LoanState standing, byte[] done, long next)
            implements CellMessage {}

    /** The home has it that the loan is over: the other cell may forget it. */
    record LoanSettled(long number, long floor) implements CellMessage {}

    /**
     * What a user asks of a job whose home is the cell that gets this. {@code job}: only to submit.
     */
    record UserRequest(RequestKind wish, String id, JobSpec job) implements CellMessage {}

    enum RequestKind {
        SUBMIT,
        STATUS,
        CANCEL
    }

    /** {@code verdict}: by name, as the home's own nodes would answer. */
    record UserResponse(String verdict, JobStatus state) implements CellMessage {}
}
