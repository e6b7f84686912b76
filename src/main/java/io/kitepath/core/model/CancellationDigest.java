package io.kitepath.core.model;

import java.util.List;

/**
 * A node's list of the cancellations that it learned of between two moments. It is complete: the
 * node told no user of any other in that time, and confirmed none. It says nothing of the time
 * before {@code sinceMillis}, so a process that was started since does not vouch for what its
 * predecessor confirmed.
 *
 * @param node the node whose list it is
 * @param sinceMillis the first moment, in milliseconds since 1970 by that node's clock
 * @param untilMillis when the list was made, in milliseconds since 1970
 * @param jobIds the cancelled jobs
 */
public record CancellationDigest(
        String node, double sinceMillis, double untilMillis, List<String> jobIds) {}
