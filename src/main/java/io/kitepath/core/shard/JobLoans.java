package io.kitepath.core.shard;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** What of a job is lent to other cells, and the state of the record that says so. */
final class JobLoans {
    private final List<TaskLoan> loans = new ArrayList<>();
    private final List<TaskLoan> loansView = Collections.unmodifiableList(loans);
    private long revision;
    private boolean isBeingWritten;

    /** In the order of their numbers; read only. */
    List<TaskLoan> all() {
        return loansView;
    }

    void add(TaskLoan loan) {
        loans.add(loan);
    }

    void remove(TaskLoan loan) {
        loans.remove(loan);
    }

    /** The store revision of the record of the loans, 0 if there is none. */
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
