package io.kitepath.core.state;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import java.util.Arrays;

/** How a job ended, by the name that its stored record and its {@code JobStatus} have for it. */
public enum EndStatus {
    DONE("done"),
    CANCELLED("cancelled");

    /** The field of the record. */
    private static final String FIELD = "status";

    private final String storedName;

    EndStatus(String storedName) {
        this.storedName = storedName;
    }

    /** The name in records and in what users are told. */
    public String storedName() {
        return storedName;
    }

    /**
     * Reads it from the record of a job's end.
     *
     * @throws InvalidInputException if the record does not say how the job ended
     */
    public static EndStatus fromRecord(DocumentReader record) {
        String name = record.text(FIELD);
        return Arrays.stream(values())
                .filter(status -> status.storedName.equals(name))
                .findFirst()
                .orElseThrow(() -> record.invalid(FIELD, "is not how a job ends: " + name));
    }
}
