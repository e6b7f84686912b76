package io.kitepath.core.model;

import java.util.List;

/**
 * A node's word on cancellations: these are all that it learned of between two moments, by its time
 * of day. It told no user of any other in that time, and confirmed none. It vouches for nothing
 * before {@code sinceMs}, so a process that was started since says nothing of what the one before
 * it confirmed.
 *
 * @param by the node that says so
 * @param sinceMs milliseconds since 1970
 * @param untilMs when it was said, in milliseconds since 1970
 * @param jobs ids of cancelled jobs
 */
public record CancellationDigest(String by, double sinceMs, double untilMs, List<String> jobs) {}
