package io.kitepath.core.model;

/**
 * How far an unfinished job is, for display: tasks done and running, and a sentence on what it
 * waits for, or null if there is nothing to say.
 */
public record JobProgress(String jobId, int doneTaskCount, int runningTaskCount, String note) {}
