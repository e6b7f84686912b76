package io.kitepath.workers;

import io.kitepath.core.Controller;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.net.HttpServer.Request;
import io.kitepath.net.HttpServer.Responder;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.ProtocolCodec;
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

    public void handle(Request r, Responder out) {
        if (!r.method().equals("POST")) {
            out.reply(405, null);
            return;
        }
        Heartbeat report;
        try {
            report = ProtocolCodec.report(MessagePackCodec.value(r.body()));
        } catch (InvalidInputException e) {
            LOG.debug("a report can't be read: {}", e.getMessage());
            out.reply(400, ProtocolCodec.error(e.getMessage()));
            return;
        }
        controller.heartbeat(
                report,
                a -> {
                    if (a.token() > 0) {
                        out.reply(200, ProtocolCodec.orders(a.token(), a.orders()));
                    } else {
                        out.reply(421, ProtocolCodec.anchor(a.anchor()));
                    }
                });
    }
}
