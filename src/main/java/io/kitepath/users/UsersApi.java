package io.kitepath.users;

import io.kitepath.core.Controller;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.net.HttpServer.Request;
import io.kitepath.net.HttpServer.Responder;
import io.kitepath.net.HttpStatus;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.SharedCodec;
import io.kitepath.wire.UserCodec;
import java.util.List;
import java.util.Optional;

/** The HTTP API for users: submission, status queries and cancellation of jobs. */
public final class UsersApi {
    /** The path of submissions; the paths of single jobs begin with it. */
    public static final String JOBS = "/submissions";

    private static final String CANCEL_SUFFIX = "/withdraw";

    /** The status and reason with which a submission is refused, unless its id is known. */
    private record Refusal(int status, String reason) {}

    private final Controller controller;

    /** Creates an API on the controller; must be used on the controller's event loop. */
    public UsersApi(Controller controller) {
        this.controller = controller;
    }

    /** Responds, immediately or later, to a request for {@link #JOBS} or a path below it. */
    public void handle(Request request, Responder responder) {
        if (!request.path().equals(JOBS)) {
            handleJobRequest(request, responder);
        } else if (request.method().equals("POST")) {
            submit(request.body(), responder);
        } else {
            responder.reply(HttpStatus.METHOD_NOT_ALLOWED);
        }
    }

    private void handleJobRequest(Request request, Responder responder) {
        String path = request.path().substring(JOBS.length() + 1);
        boolean isCancel = path.endsWith(CANCEL_SUFFIX);
        String jobId = isCancel ? path.substring(0, path.length() - CANCEL_SUFFIX.length()) : path;
        if (jobId.indexOf('/') >= 0) {
            responder.reply(HttpStatus.NOT_FOUND);
        } else if (!request.method().equals(isCancel ? "POST" : "GET")) {
            responder.reply(HttpStatus.METHOD_NOT_ALLOWED);
        } else if (!UserCodec.isJobId(jobId)) {
            responder.reply(HttpStatus.NOT_FOUND);
        } else if (isCancel) {
            controller.jobApi().cancel(jobId, response -> reply(response, true, responder));
        } else {
            controller.jobApi().status(jobId, response -> reply(response, false, responder));
        }
    }

    private void submit(byte[] bytes, Responder responder) {
        Object body;
        String jobId;
        try {
            body = MessagePackCodec.decode(bytes);
            jobId = UserCodec.decodeSubmittedId(body);
        } catch (InvalidInputException invalid) {
            responder.reply(HttpStatus.BAD_REQUEST, SharedCodec.encodeError(invalid.getMessage()));
            return;
        }
        submit(body, responder).ifPresent(refusal -> refuseUnlessKnown(jobId, refusal, responder));
    }

    /** Submits the job that the body describes, or returns why it is refused. */
    private Optional<Refusal> submit(Object body, Responder responder) {
        try {
            JobSpec spec = UserCodec.decodeSubmission(body);
            List<String> dependencies = UserCodec.decodeDependencies(body);
            if (controller.machineTypes().isEmpty()) {
                return Optional.of(
                        new Refusal(
                                HttpStatus.SERVICE_UNAVAILABLE,
                                "the machine types are not known yet"));
            }
            String impossibleReason = controller.reasonImpossible(spec);
            if (impossibleReason != null) {
                return Optional.of(new Refusal(HttpStatus.UNPROCESSABLE, impossibleReason));
            }
            controller
                    .jobApi()
                    .submit(
                            spec,
                            dependencies,
                            response ->
                                    reply(
                                            response,
                                            response.verdict() == Verdict.CREATED,
                                            responder));
            return Optional.empty();
        } catch (InvalidInputException invalid) {
            return Optional.of(new Refusal(HttpStatus.BAD_REQUEST, invalid.getMessage()));
        }
    }

    /**
     * Refuses a submission if its id is new. For a known id the response is the job's status
     * regardless of the rest of the body, so the status is queried first.
     */
    private void refuseUnlessKnown(String jobId, Refusal refusal, Responder responder) {
        controller
                .jobApi()
                .status(
                        jobId,
                        response -> {
                            if (response.verdict() == Verdict.NOT_FOUND) {
                                reply(refusal, responder);
                            } else {
                                reply(response, false, responder);
                            }
                        });
    }

    private void reply(Refusal refusal, Responder responder) {
        if (refusal.status == HttpStatus.SERVICE_UNAVAILABLE) {
            replyUnavailable(refusal.reason, responder);
        } else {
            responder.reply(refusal.status, SharedCodec.encodeError(refusal.reason));
        }
    }

    /** Sends the controller's response; {@code brief} omits the progress of the job. */
    private void reply(JobResponse response, boolean brief, Responder responder) {
        switch (response.verdict()) {
            case CREATED ->
                    responder.reply(
                            HttpStatus.CREATED,
                            UserCodec.encodeJobStatus(response.jobStatus(), true));
            case KNOWN ->
                    responder.reply(
                            HttpStatus.OK, UserCodec.encodeJobStatus(response.jobStatus(), brief));
            case REFUSED ->
                    responder.reply(
                            HttpStatus.UNPROCESSABLE, SharedCodec.encodeError(response.reason()));
            case INVALID ->
                    responder.reply(
                            HttpStatus.BAD_REQUEST, SharedCodec.encodeError(response.reason()));
            case NOT_FOUND ->
                    responder.reply(HttpStatus.NOT_FOUND, SharedCodec.encodeError("no such job"));
            case LATER -> replyUnavailable("the state service can't be asked now", responder);
        }
    }

    private void replyUnavailable(String reason, Responder responder) {
        responder.reply(
                HttpStatus.SERVICE_UNAVAILABLE,
                SharedCodec.encodeError(reason),
                controller.retryAfterSeconds());
    }
}
