package io.kitepath.core.cell;

import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CellMessage.RequestKind;
import io.kitepath.core.model.CellMessage.UserRequest;
import io.kitepath.core.model.CellMessage.UserResponse;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.port.RemoteCells;
import io.kitepath.core.service.JobApi;
import io.kitepath.core.service.JobSubmissionService;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Answers users' requests about jobs through the job's home, whichever cell the user asks: in this
 * cell, or by any node of the home. Only the home may accept a job, so while it can't be reached,
 * the user is told to try again later.
 */
final class HomeCellJobs implements JobApi {
    private final CellDirectory cellDirectory;
    private final JobSubmissionService submissions;
    private final RemoteCells cells;

    /** Whether this node's cells file names the homes that the cell has recorded. */
    private final BooleanSupplier homesAgreed;

    HomeCellJobs(
            CellDirectory cellDirectory,
            JobSubmissionService submissions,
            RemoteCells cells,
            BooleanSupplier homesAgreed) {
        this.cellDirectory = cellDirectory;
        this.submissions = submissions;
        this.cells = cells;
        this.homesAgreed = homesAgreed;
    }

    @Override
    public void submit(JobSpec spec, List<String> needs, Consumer<JobResponse> answer) {
        if (needs.isEmpty()) {
            ask(new UserRequest(RequestKind.SUBMIT, spec.id(), spec), answer);
        } else if (homesAgreed.getAsBoolean()
                && isHere(spec.id())
                && needs.stream().allMatch(this::isHere)) {
            submissions.submit(spec, needs, answer);
        } else {
            // Only the records of another cell say whether a job of it is done, and they may be
            // out of reach when it matters. A job that was accepted before is answered as usual.
            status(spec.id(), known -> answer.accept(orRefusedDependency(known)));
        }
    }

    private static JobResponse orRefusedDependency(JobResponse known) {
        return known.verdict() == Verdict.NOT_FOUND
                ? JobResponse.refused(
                        "a job waits only for jobs whose home is the cell that it is handed in to")
                : known;
    }

    private boolean isHere(String id) {
        return cellDirectory.homeCellOf(id).equals(cellDirectory.ownCellName());
    }

    @Override
    public void status(String id, Consumer<JobResponse> answer) {
        ask(new UserRequest(RequestKind.STATUS, id, null), answer);
    }

    @Override
    public void cancel(String id, Consumer<JobResponse> answer) {
        ask(new UserRequest(RequestKind.CANCEL, id, null), answer);
    }

    private void ask(UserRequest request, Consumer<JobResponse> answer) {
        if (isHere(request.jobId())) {
            onUserRequest(request, answer);
        } else {
            String home = cellDirectory.homeCellOf(request.jobId());
            cells.ask(home, null, request, reply -> answer.accept(toJobResponse(reply)));
        }
    }

    private static JobResponse toJobResponse(CellMessage reply) {
        return reply instanceof UserResponse response
                ? new JobResponse(Verdict.valueOf(response.verdict()), response.status())
                : JobResponse.LATER;
    }

    /** Answers a request that a user sent to this node, or that another cell's node sent on. */
    void onUserRequest(UserRequest request, Consumer<JobResponse> answer) {
        // Nodes with different cells files may take different cells to be the job's home.
        if (!homesAgreed.getAsBoolean() || !isHere(request.jobId())) {
            answer.accept(JobResponse.LATER);
            return;
        }
        switch (request.kind()) {
            case SUBMIT -> submissions.submit(request.spec(), answer);
            case STATUS -> submissions.status(request.jobId(), answer);
            case CANCEL -> submissions.cancel(request.jobId(), answer);
        }
    }
}
