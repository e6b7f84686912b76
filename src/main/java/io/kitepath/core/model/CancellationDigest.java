package io.kitepath.core.model;

import java.util.List;

/**
 * A node's word on cancellations: these are all that it learned of between two moments, by its time
 * of day. It told no user of any other in that time, and confirmed none. It vouches for nothing
 * before {@code sinceMillis}, so a process that was started since says nothing of what the one
 * before it confirmed.
 *
 * @param node the node that says so
 * @param sinceMillis milliseconds since 1970
 * @param untilMillis when it was said, in milliseconds since 1970
 * @param jobIds ids of cancelled jobs
 */
public record CancellationDigest(
        String node, double sinceMillis, double untilMillis, List<String> jobIds) {}
