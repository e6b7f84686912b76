package io.kitepath.core.state;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import java.util.Arrays;

/** How a job ended, with the name used in its stored record and in its {@code JobStatus}. */
public enum EndStatus {
    DONE("done"),
    CANCELLED("cancelled");

    /** The record's field that holds the status. */
    private static final String FIELD = "status";

    private final String storedName;

    EndStatus(String storedName) {
        this.storedName = storedName;
    }

    /** Returns the name used in records and in responses to users. */
    public String storedName() {
        return storedName;
    }

    /**
     * Reads the status from the record of an ended job.
     *
     * @throws InvalidInputException if the record has no known status
     */
    public static EndStatus fromRecord(DocumentReader record) {
        String name = record.text(FIELD);
        return Arrays.stream(values())
                .filter(status -> status.storedName.equals(name))
                .findFirst()
                .orElseThrow(
                        () -> record.invalid(FIELD, "is not the status of an ended job: " + name));
    }
}
