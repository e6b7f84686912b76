package io.kitepath.core.model;

import java.util.List;

/**
 * The answer to a worker's heartbeat.
 *
 * @param fencingToken of the leader that gives the commands; 0: the answering node may give none,
 *     and the worker shall report to {@code redirectNode}
 * @param commands in the order in which the worker shall execute them
 * @param redirectNode the node to report to, or null for any other one; only with token 0
 */
public record HeartbeatResponse(
        long fencingToken, List<WorkerCommand> commands, String redirectNode) {
    /** Sends the worker to that node, or to any other one if it is null. */
    public static HeartbeatResponse redirectTo(String node) {
        return new HeartbeatResponse(0, List.of(), node);
    }
}
