package io.kitepath.core.cell;

import io.kitepath.core.model.CellMessage.LoanOffer;
import io.kitepath.core.model.CellMessage.LoanState;
import io.kitepath.core.model.CellMessage.LoanStatus;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.shard.Job;
import io.kitepath.core.state.StoreKeys;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One loan that this cell has accepted: what its record contains, and what is known of it besides.
 */
final class BorrowedLoan {
    /** The names are part of stored records. */
    private static final String JOB = "job";

    private static final String HOME = "home";
    private static final String NUMBER = "number";
    private static final String SPEC = "spec";
    private static final String SUBMITTED = "submittedMs";
    private static final String FIRST_TASK = "from";
    private static final String END_TASK = "until";
    private static final String NEXT_ATTEMPT = "next";
    private static final String STATE = "standing";
    private static final String DONE_TASKS = "done";

    /** The offer as it was accepted. */
    final LoanOffer offer;

    /** In seconds on the steady clock; of a loan that was read from the store, when that was. */
    final double borrowedAt;

    /** Tells the home that the loan is over, until it has recorded that. */
    final RetriedQuery report = new RetriedQuery();

    LoanState state = LoanState.TAKEN;

    /**
     * A bit set of the tasks that are done, from the first one of the loan; empty until its end.
     */
    byte[] doneTasks = new byte[0];

    /** The number that the job's next attempt must have at least. */
    long nextAttempt;

    /** Of the loan's record. */
    long revision;

    /** The borrowed tasks as a job of this cell. */
    Job job;

    /** Its end is decided and not committed yet. */
    boolean isEnding;

    /** Its home has recorded its end. */
    boolean isSettled;

    /** The removal of its record is under way. */
    boolean isBeingForgotten;

    BorrowedLoan(LoanOffer offer, double borrowedAt) {
        this.offer = offer;
        this.borrowedAt = borrowedAt;
        this.nextAttempt = offer.nextAttempt();
    }

    /**
     * Reads what {@link #toRecord} wrote; the job is left to the caller.
     *
     * @param now in seconds on the steady clock
     * @throws io.kitepath.core.model.InvalidInputException if a field is missing or malformed
     * @throws IllegalArgumentException if the state or the bit set of done tasks is
     */
    static BorrowedLoan fromEntry(Entry entry, double now) {
        DocumentReader document = DocumentReader.of(entry.value());
        JobSpec spec = JobSpec.fromRecord(document.text(JOB), document.raw(SPEC));
        LoanOffer offer =
                new LoanOffer(
                        document.text(HOME),
                        document.count(NUMBER),
                        0,
                        spec,
                        document.number(SUBMITTED, 0),
                        (int) document.integer(FIRST_TASK, 0, spec.taskCount()),
                        (int) document.integer(END_TASK, 0, spec.taskCount()),
                        document.count(NEXT_ATTEMPT));
        BorrowedLoan loan = new BorrowedLoan(offer, now);
        loan.state = LoanState.valueOf(document.text(STATE));
        loan.doneTasks = Base64.getDecoder().decode(document.text(DONE_TASKS));
        loan.revision = entry.revision();
        return loan;
    }

    /** The stored form. */
    Map<String, Object> toRecord() {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put(JOB, jobId());
        record.put(HOME, home());
        record.put(NUMBER, number());
        record.put(SPEC, offer.spec().toRecord());
        record.put(SUBMITTED, offer.submittedMillis());
        record.put(FIRST_TASK, (long) offer.firstTask());
        record.put(END_TASK, (long) offer.endTask());
        record.put(NEXT_ATTEMPT, nextAttempt);
        record.put(STATE, state.name());
        record.put(DONE_TASKS, Base64.getEncoder().encodeToString(doneTasks));
        return record;
    }

    String key() {
        return StoreKeys.borrowedTasksKey(home(), number());
    }

    String home() {
        return offer.homeCell();
    }

    long number() {
        return offer.loanNumber();
    }

    String jobId() {
        return offer.spec().id();
    }

    int taskCount() {
        return offer.endTask() - offer.firstTask();
    }

    /** What its home is told of it by this cell. */
    LoanStatus statusFrom(String ownCell) {
        return new LoanStatus(ownCell, number(), state, doneTasks, nextAttempt);
    }
}
