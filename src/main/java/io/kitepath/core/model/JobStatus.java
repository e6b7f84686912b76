package io.kitepath.core.model;

/**
 * What a user is told of a job.
 *
 * @param jobId the job
 * @param status pending, running, done or cancelled
 * @param doneTaskCount tasks that are done
 * @param runningTaskCount tasks that run
 * @param note what it waits for, in a sentence, or null if there is nothing to say
 */
public record JobStatus(
        String jobId, String status, int doneTaskCount, int runningTaskCount, String note) {
    public JobStatus(String id, String status, int done, int running) {
        this(id, status, done, running, null);
    }

    /** The state of a job that is neither done nor cancelled. */
    public static JobStatus ofUnfinished(JobProgress progress) {
        return new JobStatus(
                progress.jobId(),
                progress.runningTaskCount() > 0 ? "running" : "pending",
                progress.doneTaskCount(),
                progress.runningTaskCount(),
                progress.note());
    }
}
