package io.kitepath.users;

import io.kitepath.core.Controller;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.service.JobSubmissionService;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.net.HttpServer.Request;
import io.kitepath.net.HttpServer.Responder;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.SharedCodec;
import io.kitepath.wire.UserCodec;
import java.util.List;

/** What users may ask over HTTP. */
public final class UsersApi {
    public static final String JOBS = "/submissions";
    private static final String CANCEL = "/withdraw";
    private final Controller controller;

    public UsersApi(Controller controller) {
        this.controller = controller;
    }

    public void handle(Request request, Responder out) {
        String path = request.path();
        if (path.equals(JOBS)) {
            if (!request.method().equals("POST")) {
                out.reply(405, null);
                return;
            }
            submit(request.body(), out);
            return;
        }
        String rest = path.substring(JOBS.length() + 1);
        boolean cancel = rest.endsWith(CANCEL);
        String id = cancel ? rest.substring(0, rest.length() - CANCEL.length()) : rest;
        if (id.indexOf('/') >= 0) {
            out.reply(404, null);
        } else if (!request.method().equals(cancel ? "POST" : "GET")) {
            out.reply(405, null);
        } else if (!UserCodec.isJobId(id)) {
            out.reply(404, null);
        } else if (cancel) {
            controller.jobApi().cancel(id, response -> answer(response, true, out));
        } else {
            controller.jobApi().status(id, response -> answer(response, false, out));
        }
    }

    private void submit(byte[] bytes, Responder out) {
        Object body;
        String id;
        try {
            body = MessagePackCodec.decode(bytes);
            id = UserCodec.decodeSubmittedId(body);
        } catch (InvalidInputException invalid) {
            out.reply(400, SharedCodec.encodeError(invalid.getMessage()));
            return;
        }
        String wrong;
        int status;
        try {
            JobSpec spec = UserCodec.decodeSubmission(body);
            List<String> needs = UserCodec.decodeDependencies(body);
            if (controller.machineTypes().isEmpty()) {
                known(id, 503, "the machine types are not known yet", out);
                return;
            }
            wrong = controller.reasonImpossible(spec);
            if (wrong == null) {
                controller
                        .jobApi()
                        .submit(
                                spec,
                                needs,
                                response ->
                                        answer(
                                                response,
                                                response.verdict()
                                                        == JobSubmissionService.Verdict.CREATED,
                                                out));
                return;
            }
            status = 422;
        } catch (InvalidInputException invalid) {
            wrong = invalid.getMessage();
            status = 400;
        }
        known(id, status, wrong, out);
    }

    /**
     * A known id gets its state whatever else the body says, so the store is asked before anything
     * is refused.
     */
    private void known(String id, int status, String why, Responder out) {
        controller
                .jobApi()
                .status(
                        id,
                        response -> {
                            if (response.verdict() == JobSubmissionService.Verdict.NOT_FOUND) {
                                out.reply(
                                        status,
                                        SharedCodec.encodeError(why),
                                        status == 503 ? controller.retryAfterSeconds() : 0);
                            } else {
                                answer(response, false, out);
                            }
                        });
    }

    private void answer(JobResponse response, boolean brief, Responder out) {
        switch (response.verdict()) {
            case CREATED -> out.reply(201, UserCodec.encodeJobStatus(response.jobStatus(), true));
            case KNOWN -> out.reply(200, UserCodec.encodeJobStatus(response.jobStatus(), brief));
            case REFUSED -> out.reply(422, SharedCodec.encodeError(response.reason()));
            case INVALID -> out.reply(400, SharedCodec.encodeError(response.reason()));
            case NOT_FOUND -> out.reply(404, SharedCodec.encodeError("no such job"));
            default ->
                    out.reply(
                            503,
                            SharedCodec.encodeError("the state service can't be asked now"),
                            controller.retryAfterSeconds());
        }
    }
}
