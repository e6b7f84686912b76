package io.kitepath.wire;

import io.kitepath.core.model.InvalidInputException;

/**
 * A task as the protocol names it: {@code j-000412/3}.
 *
 * @param jobId the job
 * @param task the task's number within the job, from 0
 */
record TaskReference(String jobId, int task) {
    private static final char SEPARATOR = '/';

    /** Throws an {@link InvalidInputException} if the text is not a task's name. */
    static TaskReference parse(String text) {
        int slash = text.lastIndexOf(SEPARATOR);
        if (slash < 1) {
            throw malformed();
        }
        try {
            return new TaskReference(
                    text.substring(0, slash), Integer.parseInt(text.substring(slash + 1)));
        } catch (NumberFormatException e) {
            throw malformed();
        }
    }

    private static InvalidInputException malformed() {
        return new InvalidInputException("sheet: must look like j-000412/3");
    }

    @Override
    public String toString() {
        return jobId + SEPARATOR + task;
    }
}
