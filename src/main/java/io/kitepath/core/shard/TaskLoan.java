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
    public final String to;
    public final int from;
    public final int until;

    /** The other cell says that it has taken it. */
    public boolean taken;

    /** Its word that it is over, which is being written down. */
    public boolean closed;

    /** Our store has the loan. Nothing is offered before. */
    public boolean written;

    /** For how it is told of: seconds on the steady clock, and whether an answer is awaited. */
    public double askedAt = Double.NEGATIVE_INFINITY;

    public boolean asking;
    public int unanswered;
    public final double since;

    public TaskLoan(long number, String to, int from, int until, double since) {
        this.number = number;
        this.to = to;
        this.from = from;
        this.until = until;
        this.since = since;
    }

    public int tasks() {
        return until - from;
    }

    /** The record of all loans of a job. */
    public static Map<String, Object> record(List<TaskLoan> loans) {
        List<Object> list = new ArrayList<>();
        for (TaskLoan loan : loans) {
            list.add(List.of(loan.number, loan.to, (long) loan.from, (long) loan.until));
        }
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("loans", list);
        return m;
    }

    /**
     * What {@link #record} wrote.
     *
     * @throws io.kitepath.core.model.InvalidInputException if it did not
     */
    public static List<TaskLoan> read(Object record, double now) {
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
            loan.written = true;
            out.add(loan);
        }
        return out;
    }
}
