package io.kitepath.core.model;

/**
 * Thrown if input violates its interface. The message names the field and the reason, and is
 * returned to the sender.
 */
public final class InvalidInputException extends RuntimeException {
    /**
     * Creates an exception.
     *
     * @param reason the field and what is wrong with it
     */
    public InvalidInputException(String reason) {
        // No stack trace: invalid input is frequent, and handling it must stay cheap.
        super(reason, null, false, false);
    }
}
