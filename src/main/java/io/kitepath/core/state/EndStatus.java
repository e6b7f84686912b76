package io.kitepath.core.state;

/** How a job ended, by the name that its stored record and its {@code JobStatus} have for it. */
enum EndStatus {
    DONE("done"),
    CANCELLED("cancelled");

    private final String storedName;

    EndStatus(String storedName) {
        this.storedName = storedName;
    }

    String storedName() {
        return storedName;
    }
}
