package io.kitepath.core.model;

/**
 * The status of a job as its user is told.
 *
 * @param status pending, running, done or cancelled
 * @param note what it waits for, in a sentence, or null if there is nothing to say
 */
public record JobStatus(
        String jobId, String status, int doneTaskCount, int runningTaskCount, String note) {
    /** A status without a note. */
    public JobStatus(String jobId, String status, int doneTaskCount, int runningTaskCount) {
        this(jobId, status, doneTaskCount, runningTaskCount, null);
    }

    /** The status of a job that is neither done nor cancelled. */
    public static JobStatus ofUnfinished(JobProgress progress) {
        return new JobStatus(
                progress.jobId(),
                progress.runningTaskCount() > 0 ? "running" : "pending",
                progress.doneTaskCount(),
                progress.runningTaskCount(),
                progress.note());
    }
}
