package io.kitepath.workers;

import io.kitepath.core.Controller;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.net.HttpServer.Request;
import io.kitepath.net.HttpServer.Responder;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.SharedCodec;
import io.kitepath.wire.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Check-ins of workers over HTTP. */
public final class WorkersApi {
    public static final String CHECK_IN = "/checkin";
    private static final Logger LOG = LoggerFactory.getLogger(WorkersApi.class);

    private final Controller controller;

    public WorkersApi(Controller controller) {
        this.controller = controller;
    }

    public void handle(Request request, Responder out) {
        if (!request.method().equals("POST")) {
            out.reply(405, null);
            return;
        }
        Heartbeat heartbeat;
        try {
            heartbeat = WorkerCodec.decodeHeartbeat(MessagePackCodec.decode(request.body()));
        } catch (InvalidInputException invalid) {
            LOG.debug("a report can't be read: {}", invalid.getMessage());
            out.reply(400, SharedCodec.encodeError(invalid.getMessage()));
            return;
        }
        controller.onHeartbeat(
                heartbeat,
                response -> {
                    if (response.fencingToken() > 0) {
                        out.reply(
                                200,
                                WorkerCodec.encodeCommands(
                                        response.fencingToken(), response.commands()));
                    } else {
                        out.reply(421, WorkerCodec.encodeRedirect(response.redirectNode()));
                    }
                });
    }
}
