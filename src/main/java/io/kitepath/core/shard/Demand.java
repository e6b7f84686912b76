package io.kitepath.core.shard;

import io.kitepath.core.model.JobSpec;

/**
 * What a job demands of its dependencies.
 *
 * @param priority the priority that they inherit
 * @param due the times by which they have to be done
 */
record Demand(JobSpec.Priority priority, DueTimes due) {}
