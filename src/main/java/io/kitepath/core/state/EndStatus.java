package io.kitepath.core.state;

import java.util.Arrays;

/** How a job ended, by the name that its stored record and its {@code JobStatus} have for it. */
public enum EndStatus {
    DONE("done"),
    CANCELLED("cancelled");

    private final String storedName;

    EndStatus(String storedName) {
        this.storedName = storedName;
    }

    /** The name in records and in what users are told. */
    public String storedName() {
        return storedName;
    }

    /** Whether a job's end has that name. */
    public static boolean isStoredName(String name) {
        return Arrays.stream(values()).anyMatch(status -> status.storedName.equals(name));
    }
}
