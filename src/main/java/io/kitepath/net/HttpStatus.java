package io.kitepath.net;

/** HTTP status codes used by the protocols. */
public final class HttpStatus {
    public static final int OK = 200;
    public static final int CREATED = 201;
    public static final int BAD_REQUEST = 400;
    public static final int NOT_FOUND = 404;
    public static final int METHOD_NOT_ALLOWED = 405;
    public static final int CONFLICT = 409;
    public static final int GONE = 410;

    /** In the worker protocol: the request has to be sent to another node. */
    public static final int MISDIRECTED_REQUEST = 421;

    public static final int UNPROCESSABLE = 422;
    public static final int TOO_MANY_REQUESTS = 429;
    public static final int INTERNAL_SERVER_ERROR = 500;
    public static final int SERVICE_UNAVAILABLE = 503;

    private HttpStatus() {}
}
