package io.kitepath.core.service;

import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.state.StoreKeys;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Status queries that are settled by one comparison: the callers, by job. */
final class QueryBatch {
    private final Map<String, List<Consumer<JobResponse>>> callersByJob = new LinkedHashMap<>();

    void add(String jobId, List<Consumer<JobResponse>> callers) {
        callersByJob.put(jobId, callers);
    }

    /** The jobs, in the order in which they were first asked for. */
    Set<String> jobIds() {
        return callersByJob.keySet();
    }

    int size() {
        return callersByJob.size();
    }

    /** A transaction that writes nothing, and names the keys of these jobs that exist. */
    Transaction comparison() {
        Transaction comparison = new Transaction();
        for (String jobId : jobIds()) {
            comparison
                    .requireRevision(StoreKeys.OPEN_JOBS + jobId, 0)
                    .requireRevision(StoreKeys.ENDED_JOBS + jobId, 0);
        }
        return comparison;
    }

    /** Answers all who asked for that job. */
    void answer(String jobId, JobResponse response) {
        callersByJob.get(jobId).forEach(caller -> caller.accept(response));
    }

    /** Answers all with the same. */
    void answerAll(JobResponse response) {
        jobIds().forEach(jobId -> answer(jobId, response));
    }
}
