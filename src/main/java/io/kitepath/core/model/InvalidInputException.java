package io.kitepath.core.model;

/** Input that is not what its interface promises; the message names the field and the reason. */
public final class InvalidInputException extends RuntimeException {
    public InvalidInputException(String reason) {
        // No stack trace: bad input is an everyday event and must stay cheap.
        super(reason, null, false, false);
    }
}
