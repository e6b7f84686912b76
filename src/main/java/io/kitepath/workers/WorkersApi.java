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

/** The HTTP API for workers: it receives heartbeats and responds with commands. */
public final class WorkersApi {
    /** The path of heartbeats. */
    public static final String CHECK_IN = "/checkin";

    private static final Logger LOG = LoggerFactory.getLogger(WorkersApi.class);

    private final Controller controller;

    /** Creates an API on the controller; must be used on the controller's event loop. */
    public WorkersApi(Controller controller) {
        this.controller = controller;
    }

    /** Responds, immediately or later, to a request for the path {@link #CHECK_IN}. */
    public void handle(Request request, Responder responder) {
        if (!request.method().equals("POST")) {
            responder.reply(HttpStatus.METHOD_NOT_ALLOWED);
            return;
        }
        Heartbeat heartbeat;
        try {
            heartbeat = WorkerCodec.decodeHeartbeat(MessagePackCodec.decode(request.body()));
        } catch (InvalidInputException invalid) {
            LOG.debug("heartbeat unreadable: reason={}", invalid.getMessage());
            responder.reply(HttpStatus.BAD_REQUEST, SharedCodec.encodeError(invalid.getMessage()));
            return;
        }
        controller.onHeartbeat(heartbeat, response -> reply(response, responder));
    }

    /**
     * Sends the commands, or redirects the worker: without a fencing token it has to send its
     * heartbeats to another node.
     */
    private static void reply(HeartbeatResponse response, Responder responder) {
        if (response.fencingToken() > 0) {
            byte[] commands =
                    WorkerCodec.encodeCommands(response.fencingToken(), response.commands());
            responder.reply(HttpStatus.OK, commands);
        } else {
            byte[] redirect = WorkerCodec.encodeRedirect(response.redirectNode());
            responder.reply(HttpStatus.MISDIRECTED_REQUEST, redirect);
        }
    }
}
