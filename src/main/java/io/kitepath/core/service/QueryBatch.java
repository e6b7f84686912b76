package io.kitepath.core.service;

import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.state.StoreKeys;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** A batch of status queries that are resolved by one comparison: the callers, by job. */
final class QueryBatch {
    private final Map<String, List<Consumer<JobResponse>>> callersByJob = new LinkedHashMap<>();

    void addCallers(String jobId, List<Consumer<JobResponse>> callers) {
        callersByJob.put(jobId, callers);
    }

    /** Returns the jobs, in the order in which they were first queried. */
    Set<String> jobIds() {
        return callersByJob.keySet();
    }

    int size() {
        return callersByJob.size();
    }

    /**
     * Returns a transaction that writes nothing, and whose result names the existing keys of these
     * jobs.
     */
    Transaction comparison() {
        Transaction comparison = new Transaction();
        for (String jobId : jobIds()) {
            comparison
                    .requireRevision(StoreKeys.OPEN_JOBS + jobId, 0)
                    .requireRevision(StoreKeys.ENDED_JOBS + jobId, 0);
        }
        return comparison;
    }

    /** Sends the response to all callers that queried the job. */
    void respond(String jobId, JobResponse response) {
        callersByJob.get(jobId).forEach(caller -> caller.accept(response));
    }

    /** Sends the same response to all callers. */
    void respondToAll(JobResponse response) {
        jobIds().forEach(jobId -> respond(jobId, response));
    }
}
