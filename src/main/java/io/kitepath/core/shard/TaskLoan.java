package io.kitepath.core.shard;

import io.kitepath.core.model.DocumentReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A range of a job's tasks that was offered to another cell, which may have accepted it. Nothing of
 * it is placed here until that cell's store says that the loan is over; neither a time-out nor an
 * unreachable cell ends it.
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

    /** In seconds on the steady clock; of a loan that was read from the store, when that was. */
    public final double offeredAt;

    /** The other cell has said that it has accepted the loan. */
    public boolean isAccepted;

    /** The other cell has said that the loan is over, and that is being recorded here. */
    public boolean isClosed;

    /** Whether this cell's store has the loan; it must not be offered before. */
    public boolean isRecorded;

    /** When the other cell was last asked about the loan, in seconds on the steady clock. */
    public double lastQueriedAt = Double.NEGATIVE_INFINITY;

    /** Whether a query about the loan is under way. */
    public boolean isAwaitingAnswer;

    /** How many queries in a row had no answer, for the back-off between them. */
    public int unansweredQueries;

    /**
     * A loan that is not on record yet.
     *
     * @param firstTask the first task of the job that is lent
     * @param endTask the first task after those that are lent
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

    /** How many tasks the loan has. */
    public int taskCount() {
        return endTask - firstTask;
    }

    /** The one record that all loans of a job have: number, cell, first and end task of each. */
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
     * Reads what {@link #toRecord} wrote.
     *
     * @param now in seconds on the steady clock
     * @throws io.kitepath.core.model.InvalidInputException if it is not such a record
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
