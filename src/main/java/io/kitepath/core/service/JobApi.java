package io.kitepath.core.service;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import java.util.List;
import java.util.function.Consumer;

/**
 * Requests that users can send to any node. All requests are idempotent: a request whose response
 * was lost may be sent again. Methods are called, and respond, on the event loop.
 */
public interface JobApi {
    /**
     * Accepts a job without dependencies. A job that was accepted before is not changed; the
     * response is its current state.
     */
    default void submit(JobSpec spec, Consumer<JobResponse> onResponse) {
        submit(spec, List.of(), onResponse);
    }

    /**
     * Accepts a job none of whose tasks starts before all jobs in {@code dependencies} are done.
     */
    void submit(JobSpec spec, List<String> dependencies, Consumer<JobResponse> onResponse);

    /** Responds with the job's state, which is never older than one in an earlier response. */
    void status(String id, Consumer<JobResponse> onResponse);

    /** Cancels the job unless it has ended, and responds with its state. */
    void cancel(String id, Consumer<JobResponse> onResponse);
}
