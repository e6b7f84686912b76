package io.kitepath.core.shard;

import io.kitepath.core.model.DocumentReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tasks of a job that another cell has been offered, and may have taken: they are out, and nothing
 * of them is placed here, until that cell's store says otherwise. Time and silence say nothing.
 */
public final class TaskLoan {
    public final long number;
    public final String borrowerCell;
    public final int firstTask;
    public final int endTask;

    /** The other cell says that it has taken it. */
    public boolean isAccepted;

    /** Its word that it is over, which is being written down. */
    public boolean isClosed;

    /** Our store has the loan. Nothing is offered before. */
    public boolean isRecorded;

    /** For how it is told of: seconds on the steady clock, and whether an answer is awaited. */
    public double lastQueriedAt = Double.NEGATIVE_INFINITY;

    public boolean isAwaitingAnswer;
    public int unansweredQueries;
    public final double offeredAt;

    public TaskLoan(long number, String to, int from, int until, double since) {
        this.number = number;
        this.borrowerCell = to;
        this.firstTask = from;
        this.endTask = until;
        this.offeredAt = since;
    }

    public int taskCount() {
        return endTask - firstTask;
    }

    /** The record of all loans of a job. */
    public static Map<String, Object> toRecord(List<TaskLoan> loans) {
        List<Object> list = new ArrayList<>();
        for (TaskLoan loan : loans) {
            list.add(
                    List.of(
                            loan.number,
                            loan.borrowerCell,
                            (long) loan.firstTask,
                            (long) loan.endTask));
        }
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("loans", list);
        return m;
    }

    /**
     * What {@link #toRecord} wrote.
     *
     * @throws io.kitepath.core.model.InvalidInputException if it did not
     */
    public static List<TaskLoan> fromRecord(Object record, double now) {
        DocumentReader document = DocumentReader.of(record);
        List<TaskLoan> out = new ArrayList<>();
        for (Object o : document.list("loans")) {
            if (!(o instanceof List<?> l)
                    || l.size() != 4
                    || !(l.get(0) instanceof Number n)
                    || !(l.get(1) instanceof String to)
                    || !(l.get(2) instanceof Number from)
                    || !(l.get(3) instanceof Number until)) {
                throw document.invalid("loans", "must be lists of number, cell, first and last");
            }
            TaskLoan loan = new TaskLoan(n.longValue(), to, from.intValue(), until.intValue(), now);
            loan.isRecorded = true;
            out.add(loan);
        }
        return out;
    }
}
