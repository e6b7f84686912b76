package io.kitepath.net;

/**
 * The result of a request.
 *
 * @param status a status code as in {@link HttpStatus}, or 0 if there was no response
 * @param body the content, possibly empty
 */
public record HttpResponse(int status, byte[] body) {
    private static final int NO_STATUS = 0;

    /**
     * No response: the request failed or timed out. The server may have executed it, or may still
     * do so later.
     */
    public static final HttpResponse NONE = new HttpResponse(NO_STATUS, new byte[0]);

    /** Returns whether the status is {@link HttpStatus#OK}. */
    public boolean isOk() {
        return status == HttpStatus.OK;
    }

    /** Returns whether an overloaded server refused the request without executing it. */
    public boolean isRefusedByLoad() {
        return status == HttpStatus.TOO_MANY_REQUESTS || status == HttpStatus.SERVICE_UNAVAILABLE;
    }
}
