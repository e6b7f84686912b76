package io.kitepath.core.state;

/**
 * Tells answers that are still wanted from answers to questions of an earlier start. A component
 * advances its epoch when it starts or stops; a callback that holds a token of an earlier epoch is
 * stale and does nothing. Used on the event loop only.
 */
final class Epoch {
    private long number;

    /** Makes all tokens handed out so far stale. */
    Token advance() {
        number++;
        return current();
    }

    /** A token that stays valid until the epoch advances. */
    Token current() {
        return new Token(number);
    }

    /** The epoch in which something was asked for. */
    final class Token {
        private final long issuedIn;

        private Token(long issuedIn) {
            this.issuedIn = issuedIn;
        }

        boolean isStale() {
            return issuedIn != number;
        }
    }
}
