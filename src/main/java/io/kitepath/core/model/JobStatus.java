package io.kitepath.core.model;

/**
 * What a user is told of a job.
 *
 * @param id the job
 * @param status pending, running, done or cancelled
 * @param done tasks that are done
 * @param running tasks that run
 * @param note what it waits for, in a sentence, or null if there is nothing to say
 */
public record JobStatus(String id, String status, int done, int running, String note) {
    public JobStatus(String id, String status, int done, int running) {
        this(id, status, done, running, null);
    }

    /** The state of a job that is neither done nor cancelled. */
    public static JobStatus unfinished(JobProgress progress) {
        return new JobStatus(
                progress.job(),
                progress.running() > 0 ? "running" : "pending",
                progress.done(),
                progress.running(),
                progress.note());
    }
}
