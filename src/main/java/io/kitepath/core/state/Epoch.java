package io.kitepath.core.state;

/**
 * Distinguishes current responses from responses to requests of an earlier start. A component
 * advances its epoch when it starts or stops; a callback that holds a token of an earlier epoch is
 * stale and does nothing. Used on the event loop only.
 */
final class Epoch {
    private long number;

    /** Makes all tokens issued so far stale and returns a token of the new epoch. */
    Token advance() {
        number++;
        return current();
    }

    /** Returns a token that stays valid until the epoch advances. */
    Token current() {
        return new Token(number);
    }

    /** The epoch in which a request was made. */
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
