package io.kitepath.core.cell;

import io.kitepath.core.model.CellDirectory;
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
 * What users ask, answered by the job's home whichever cell they ask: here, or by any node of the
 * cell that is. Who gets no answer there is told to come back at once; a home that can't be reached
 * is the only one that may accept.
 */
final class HomeCellJobs implements JobApi {
    private final CellDirectory cellDirectory;
    private final JobSubmissionService submissions;
    private final RemoteCells cells;

    /** Whether this cell goes by the same homes as this node. */
    private final BooleanSupplier homesAgreed;

    HomeCellJobs(
            CellDirectory cellDirectory,
            JobSubmissionService here,
            RemoteCells cells,
            BooleanSupplier agreed) {
        this.cellDirectory = cellDirectory;
        this.submissions = here;
        this.cells = cells;
        this.homesAgreed = agreed;
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
            // Whether a job of another cell is done only that cell's records say, and they may be
            // out of reach when it matters. One that is known all the same is answered as any
            // other.
            status(
                    spec.id(),
                    response ->
                            answer.accept(
                                    response.verdict() == Verdict.NOT_FOUND
                                            ? JobResponse.refused(
                                                    "a job waits only for jobs whose home is the cell that it is handed in to")
                                            : response));
        }
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

    private void ask(UserRequest a, Consumer<JobResponse> answer) {
        String home = cellDirectory.homeCellOf(a.jobId());
        if (home.equals(cellDirectory.ownCellName())) {
            onUserRequest(a, answer);
            return;
        }
        cells.ask(
                home,
                null,
                a,
                got ->
                        answer.accept(
                                got instanceof UserResponse u
                                        ? new JobResponse(Verdict.valueOf(u.verdict()), u.status())
                                        : JobResponse.LATER));
    }

    /** A user's question that came here, or to another cell's node that sent it on. */
    void onUserRequest(UserRequest a, Consumer<JobResponse> answer) {
        // Guards against two nodes with different files that each hold another cell to be the job's
        // home.
        if (!homesAgreed.getAsBoolean()
                || !cellDirectory.homeCellOf(a.jobId()).equals(cellDirectory.ownCellName())) {
            answer.accept(JobResponse.LATER);
            return;
        }
        switch (a.kind()) {
            case SUBMIT -> submissions.submit(a.spec(), answer);
            case STATUS -> submissions.status(a.jobId(), answer);
            case CANCEL -> submissions.cancel(a.jobId(), answer);
        }
    }
}
