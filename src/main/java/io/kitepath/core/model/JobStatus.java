package io.kitepath.core.model;

/**
 * The status of a job as reported to its user.
 *
 * @param status pending, running, done or cancelled
 * @param note a sentence that says what the job is waiting for, or null
 */
public record JobStatus(
        String jobId, String status, int doneTaskCount, int runningTaskCount, String note) {
    /** Creates a status without a note. */
    public JobStatus(String jobId, String status, int doneTaskCount, int runningTaskCount) {
        this(jobId, status, doneTaskCount, runningTaskCount, null);
    }

    /** Returns the status of a job that is neither done nor cancelled. */
    public static JobStatus ofUnfinished(JobProgress progress) {
        return new JobStatus(
                progress.jobId(),
                progress.runningTaskCount() > 0 ? "running" : "pending",
                progress.doneTaskCount(),
                progress.runningTaskCount(),
                progress.note());
    }
}
