package io.kitepath.core.model;

import java.util.List;

/**
 * The answer to a worker's report.
 *
 * @param fencingToken the answering holder's token; 0: not entitled, report to {@code redirectNode}
 * @param commands what the worker shall do, in this order
 * @param redirectNode the node to report to, or null for any other; only without a token
 */
public record HeartbeatResponse(
        long fencingToken, List<WorkerCommand> commands, String redirectNode) {
    /** Not entitled: report to that node, or to any other one if it is null. */
    public static HeartbeatResponse redirectTo(String anchor) {
        return new HeartbeatResponse(0, List.of(), anchor);
    }
}
