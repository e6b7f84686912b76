package io.kitepath.core.model;

/**
 * How far an unfinished job is, for display.
 *
 * @param note what it waits for, in a sentence, or null if there is nothing to say
 */
public record JobProgress(String jobId, int doneTaskCount, int runningTaskCount, String note) {}
