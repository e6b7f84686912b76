package io.kitepath.core.shard;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The loans of a job's tasks to other cells, and the state of the loan record. */
final class JobLoans {
    private final List<TaskLoan> loans = new ArrayList<>();
    private final List<TaskLoan> loansView = Collections.unmodifiableList(loans);
    private long revision;
    private boolean isBeingWritten;

    /** All loans, ordered by number; a read-only view. */
    List<TaskLoan> all() {
        return loansView;
    }

    void add(TaskLoan loan) {
        loans.add(loan);
    }

    void remove(TaskLoan loan) {
        loans.remove(loan);
    }

    /** The store revision of the loan record, 0 if there is none. */
    long revision() {
        return revision;
    }

    void setRevision(long atRevision) {
        revision = atRevision;
    }

    boolean isBeingWritten() {
        return isBeingWritten;
    }

    void setBeingWritten(boolean isBeingWritten) {
        this.isBeingWritten = isBeingWritten;
    }
}
