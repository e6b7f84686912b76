package io.kitepath.core.model;

/**
 * The progress of an unfinished job, for display.
 *
 * @param note a sentence that says what the job is waiting for, or null
 */
public record JobProgress(String jobId, int doneTaskCount, int runningTaskCount, String note) {}
