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

/** The HTTP interface to users: they submit jobs, ask for their status and cancel them. */
public final class UsersApi {
    /** The path of submissions; those of single jobs begin with it. */
    public static final String JOBS = "/submissions";

    private static final String CANCEL_SUFFIX = "/withdraw";

    /** Why a submission is refused, unless its id is known. */
    private record Refusal(int status, String reason) {}

    private final Controller controller;

    /** An interface to that controller, to be used on its event loop. */
    public UsersApi(Controller controller) {
        this.controller = controller;
    }

    /** Answers a request for {@link #JOBS} or for a path below it, now or later. */
    public void handle(Request request, Responder out) {
        if (!request.path().equals(JOBS)) {
            handleJobRequest(request, out);
        } else if (request.method().equals("POST")) {
            submit(request.body(), out);
        } else {
            out.reply(HttpStatus.METHOD_NOT_ALLOWED);
        }
    }

    private void handleJobRequest(Request request, Responder out) {
        String path = request.path().substring(JOBS.length() + 1);
        boolean isCancel = path.endsWith(CANCEL_SUFFIX);
        String jobId = isCancel ? path.substring(0, path.length() - CANCEL_SUFFIX.length()) : path;
        if (jobId.indexOf('/') >= 0) {
            out.reply(HttpStatus.NOT_FOUND);
        } else if (!request.method().equals(isCancel ? "POST" : "GET")) {
            out.reply(HttpStatus.METHOD_NOT_ALLOWED);
        } else if (!UserCodec.isJobId(jobId)) {
            out.reply(HttpStatus.NOT_FOUND);
        } else if (isCancel) {
            controller.jobApi().cancel(jobId, response -> reply(response, true, out));
        } else {
            controller.jobApi().status(jobId, response -> reply(response, false, out));
        }
    }

    private void submit(byte[] bytes, Responder out) {
        Object body;
        String jobId;
        try {
            body = MessagePackCodec.decode(bytes);
            jobId = UserCodec.decodeSubmittedId(body);
        } catch (InvalidInputException invalid) {
            out.reply(HttpStatus.BAD_REQUEST, SharedCodec.encodeError(invalid.getMessage()));
            return;
        }
        submit(body, out).ifPresent(refusal -> refuseUnlessKnown(jobId, refusal, out));
    }

    /** Submits the job that the body describes; otherwise says why it is refused. */
    private Optional<Refusal> submit(Object body, Responder out) {
        try {
            JobSpec spec = UserCodec.decodeSubmission(body);
            List<String> dependencies = UserCodec.decodeDependencies(body);
            if (controller.machineTypes().isEmpty()) {
                return Optional.of(
                        new Refusal(
                                HttpStatus.SERVICE_UNAVAILABLE,
                                "the machine types are not known yet"));
            }
            String reasonImpossible = controller.reasonImpossible(spec);
            if (reasonImpossible != null) {
                return Optional.of(new Refusal(HttpStatus.UNPROCESSABLE, reasonImpossible));
            }
            controller
                    .jobApi()
                    .submit(
                            spec,
                            dependencies,
                            response ->
                                    reply(response, response.verdict() == Verdict.CREATED, out));
            return Optional.empty();
        } catch (InvalidInputException invalid) {
            return Optional.of(new Refusal(HttpStatus.BAD_REQUEST, invalid.getMessage()));
        }
    }

    /**
     * Refuses a submission if the id is new. A known id gets its state whatever else the body says,
     * so the store is asked first.
     */
    private void refuseUnlessKnown(String jobId, Refusal refusal, Responder out) {
        controller
                .jobApi()
                .status(
                        jobId,
                        response -> {
                            if (response.verdict() == Verdict.NOT_FOUND) {
                                reply(refusal, out);
                            } else {
                                reply(response, false, out);
                            }
                        });
    }

    private void reply(Refusal refusal, Responder out) {
        if (refusal.status == HttpStatus.SERVICE_UNAVAILABLE) {
            replyUnavailable(refusal.reason, out);
        } else {
            out.reply(refusal.status, SharedCodec.encodeError(refusal.reason));
        }
    }

    /** Replies with what was answered; {@code brief}: without the progress of the job. */
    private void reply(JobResponse response, boolean brief, Responder out) {
        switch (response.verdict()) {
            case CREATED ->
                    out.reply(
                            HttpStatus.CREATED,
                            UserCodec.encodeJobStatus(response.jobStatus(), true));
            case KNOWN ->
                    out.reply(
                            HttpStatus.OK, UserCodec.encodeJobStatus(response.jobStatus(), brief));
            case REFUSED ->
                    out.reply(HttpStatus.UNPROCESSABLE, SharedCodec.encodeError(response.reason()));
            case INVALID ->
                    out.reply(HttpStatus.BAD_REQUEST, SharedCodec.encodeError(response.reason()));
            case NOT_FOUND ->
                    out.reply(HttpStatus.NOT_FOUND, SharedCodec.encodeError("no such job"));
            case LATER -> replyUnavailable("the state service can't be asked now", out);
        }
    }

    private void replyUnavailable(String reason, Responder out) {
        out.reply(
                HttpStatus.SERVICE_UNAVAILABLE,
                SharedCodec.encodeError(reason),
                controller.retryAfterSeconds());
    }
}
