package io.kitepath.workers;

import io.kitepath.core.Controller;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.net.HttpServer.Request;
import io.kitepath.net.HttpServer.Responder;
import io.kitepath.net.HttpStatus;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.SharedCodec;
import io.kitepath.wire.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The HTTP interface to workers: they send heartbeats and get commands. */
public final class WorkersApi {
    /** The path of heartbeats. */
    public static final String CHECK_IN = "/checkin";

    private static final Logger LOG = LoggerFactory.getLogger(WorkersApi.class);

    private final Controller controller;

    /** An interface to that controller, to be used on its event loop. */
    public WorkersApi(Controller controller) {
        this.controller = controller;
    }

    /** Answers a request for the path {@link #CHECK_IN}, now or later. */
    public void handle(Request request, Responder out) {
        if (!request.method().equals("POST")) {
            out.reply(HttpStatus.METHOD_NOT_ALLOWED);
            return;
        }
        Heartbeat heartbeat;
        try {
            heartbeat = WorkerCodec.decodeHeartbeat(MessagePackCodec.decode(request.body()));
        } catch (InvalidInputException invalid) {
            LOG.debug("a report can't be read: {}", invalid.getMessage());
            out.reply(HttpStatus.BAD_REQUEST, SharedCodec.encodeError(invalid.getMessage()));
            return;
        }
        controller.onHeartbeat(heartbeat, response -> reply(response, out));
    }

    /** Without a fencing token the worker has to send its heartbeats to another node. */
    private static void reply(HeartbeatResponse response, Responder out) {
        if (response.fencingToken() > 0) {
            byte[] commands =
                    WorkerCodec.encodeCommands(response.fencingToken(), response.commands());
            out.reply(HttpStatus.OK, commands);
        } else {
            byte[] redirect = WorkerCodec.encodeRedirect(response.redirectNode());
            out.reply(HttpStatus.MISDIRECTED_REQUEST, redirect);
        }
    }
}
