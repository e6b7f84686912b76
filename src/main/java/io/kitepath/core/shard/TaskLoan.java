package io.kitepath.core.shard;

import io.kitepath.core.model.DocumentReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A range of a job's tasks that was offered to another cell, which may have accepted it. None of
 * these tasks is placed here until the loan has ended according to the store of that cell; neither
 * a time-out nor an unreachable cell ends a loan.
 */
public final class TaskLoan {
    private static final String LOANS = "loans";

    /** Unique among the loans of this cell. */
    public final long number;

    /** The cell that the loan was offered to. */
    public final String borrowerCell;

    public final int firstTask;

    /** The task after the last one of the loan. */
    public final int endTask;

    /**
     * The time of the offer, or of the read for a loan that was read from the store; in seconds on
     * the steady clock.
     */
    public final double offeredAt;

    /** Whether the other cell has confirmed that it accepted the loan. */
    public boolean isAccepted;

    /** Whether the other cell has confirmed the end of the loan, which is being stored here. */
    public boolean isClosed;

    /** Whether the loan is stored in this cell; it must not be offered before that. */
    public boolean isRecorded;

    /** When the other cell was last queried about the loan, in seconds on the steady clock. */
    public double lastQueriedAt = Double.NEGATIVE_INFINITY;

    /** Whether a query about the loan is in progress. */
    public boolean isAwaitingResponse;

    /** The number of consecutive queries without a response; determines the back-off. */
    public int queriesWithoutResponse;

    /**
     * Creates a loan that is not stored yet.
     *
     * @param firstTask the first task of the job that is lent
     * @param endTask the task after the last one that is lent
     * @param offeredAt in seconds on the steady clock
     */
    public TaskLoan(
            long number, String borrowerCell, int firstTask, int endTask, double offeredAt) {
        this.number = number;
        this.borrowerCell = borrowerCell;
        this.firstTask = firstTask;
        this.endTask = endTask;
        this.offeredAt = offeredAt;
    }

    /** The number of tasks in the loan. */
    public int taskCount() {
        return endTask - firstTask;
    }

    /** Builds the record of a job's loans: number, cell, first and end task of each. */
    public static Map<String, Object> toRecord(List<TaskLoan> loans) {
        List<Object> entries = new ArrayList<>();
        for (TaskLoan loan : loans) {
            entries.add(
                    List.of(
                            loan.number,
                            loan.borrowerCell,
                            (long) loan.firstTask,
                            (long) loan.endTask));
        }
        Map<String, Object> record = new LinkedHashMap<>();
        record.put(LOANS, entries);
        return record;
    }

    /**
     * Reads the loans from a record built by {@link #toRecord}.
     *
     * @param now in seconds on the steady clock
     * @throws io.kitepath.core.model.InvalidInputException if the value is not a loan record
     */
    public static List<TaskLoan> fromRecord(Object record, double now) {
        DocumentReader document = DocumentReader.of(record);
        List<TaskLoan> loans = new ArrayList<>();
        for (Object entry : document.list(LOANS)) {
            if (!(entry instanceof List<?> fields)
                    || fields.size() != 4
                    || !(fields.get(0) instanceof Number number)
                    || !(fields.get(1) instanceof String cell)
                    || !(fields.get(2) instanceof Number first)
                    || !(fields.get(3) instanceof Number end)) {
                throw document.invalid(LOANS, "must be lists of number, cell, first and last");
            }
            TaskLoan loan =
                    new TaskLoan(number.longValue(), cell, first.intValue(), end.intValue(), now);
            loan.isRecorded = true;
            loans.add(loan);
        }
        return loans;
    }
}
