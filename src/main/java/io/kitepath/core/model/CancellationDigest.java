package io.kitepath.core.model;

import java.util.List;

/**
 * A complete list of the cancellations that a node learned of between two moments: in that time the
 * node reported no other cancellation to a user and confirmed none. It does not cover the time
 * before {@code sinceMillis}, so a restarted process makes no statement about what its predecessor
 * confirmed.
 *
 * @param node the node that made the list
 * @param sinceMillis the start of the period, in milliseconds since 1970 by that node's clock
 * @param untilMillis the end of the period, when the list was made, in milliseconds since 1970
 * @param jobIds the ids of the cancelled jobs
 */
public record CancellationDigest(
        String node, double sinceMillis, double untilMillis, List<String> jobIds) {}
