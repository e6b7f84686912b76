package io.kitepath.core.service;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import java.util.List;
import java.util.function.Consumer;

/**
 * What users ask of any node. All requests are idempotent: one whose answer was lost may be sent
 * again. Called, and answers, on the event loop.
 */
public interface JobApi {
    /** Accepts a job without dependencies; one that was accepted before is answered as it is. */
    default void submit(JobSpec spec, Consumer<JobResponse> answer) {
        submit(spec, List.of(), answer);
    }

    /** The same; none of its tasks starts before all jobs in {@code dependencies} are done. */
    void submit(JobSpec spec, List<String> dependencies, Consumer<JobResponse> answer);

    /** The job's state; never older than one that was answered before. */
    void status(String id, Consumer<JobResponse> answer);

    /** Cancels the job unless it has ended; answers its state. */
    void cancel(String id, Consumer<JobResponse> answer);
}
