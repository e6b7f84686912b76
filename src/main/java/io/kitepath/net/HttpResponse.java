package io.kitepath.net;

/**
 * What became of a request.
 *
 * @param status a status code as in {@link HttpStatus}, or 0 if there was no response
 * @param body the content, maybe empty
 */
public record HttpResponse(int status, byte[] body) {
    private static final int NO_STATUS = 0;

    /**
     * There was no response: the request failed or timed out. The other side may or may not have
     * acted on it, and may still do so later.
     */
    public static final HttpResponse NONE = new HttpResponse(NO_STATUS, new byte[0]);

    /** Whether the status is {@link HttpStatus#OK}. */
    public boolean isOk() {
        return status == HttpStatus.OK;
    }

    /** Whether the other side refused the request without acting on it, as it is overloaded. */
    public boolean isRefusedByLoad() {
        return status == HttpStatus.TOO_MANY_REQUESTS || status == HttpStatus.SERVICE_UNAVAILABLE;
    }
}
