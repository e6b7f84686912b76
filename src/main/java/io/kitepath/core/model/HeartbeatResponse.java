package io.kitepath.core.model;

import java.util.List;

/**
 * The answer to a worker's report.
 *
 * @param token the answering holder's token; 0: not entitled, report to {@code anchor}
 * @param orders what the worker shall do, in this order
 * @param anchor the node to report to, or null for any other; only without a token
 */
public record HeartbeatResponse(long token, List<WorkerCommand> orders, String anchor) {
    /** Not entitled: report to that node, or to any other one if it is null. */
    public static HeartbeatResponse elsewhere(String anchor) {
        return new HeartbeatResponse(0, List.of(), anchor);
    }
}
