package io.kitepath.core.model;

import java.util.List;

/**
 * The response to a worker's heartbeat.
 *
 * @param fencingToken the token of the leader that issues the commands; 0: the responding node must
 *     not issue commands, and the worker sends its heartbeats to {@code redirectNode}
 * @param commands the commands in the order in which the worker executes them
 * @param redirectNode the node to send heartbeats to, or null for any other node; only with token 0
 */
public record HeartbeatResponse(
        long fencingToken, List<WorkerCommand> commands, String redirectNode) {
    /**
     * Creates a response that redirects the worker to the node, or to any other node if it is null.
     */
    public static HeartbeatResponse redirectTo(String node) {
        return new HeartbeatResponse(0, List.of(), node);
    }
}
