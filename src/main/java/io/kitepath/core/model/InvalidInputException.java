package io.kitepath.core.model;

/**
 * Input that does not keep to its interface; the message names the field and the reason, and goes
 * to whoever sent it.
 */
public final class InvalidInputException extends RuntimeException {
    /** {@code reason}: the field and what is wrong with it. */
    public InvalidInputException(String reason) {
        // No stack trace: bad input is an everyday event and must stay cheap.
        super(reason, null, false, false);
    }
}
