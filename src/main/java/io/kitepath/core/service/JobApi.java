package io.kitepath.core.service;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import java.util.List;
import java.util.function.Consumer;

/** What users ask of any node. */
public interface JobApi {
    /** Accepts a job that neither is nor was there. */
    default void submit(JobSpec spec, Consumer<JobResponse> answer) {
        submit(spec, List.of(), answer);
    }

    /** The same; none of its tasks starts before all jobs that it needs are done. */
    void submit(JobSpec spec, List<String> needs, Consumer<JobResponse> answer);

    void status(String id, Consumer<JobResponse> answer);

    void cancel(String id, Consumer<JobResponse> answer);
}
