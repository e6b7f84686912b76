/**
 * What the leader of a shard knows: machines, jobs, attempts, and what of it has not been written
 * to the store. {@link io.kitepath.core.shard.ShardState} is its entry; {@link
 * io.kitepath.core.shard.HeartbeatProcessor} reconciles it with what agents report. May depend on
 * {@code model} and {@code port} only.
 *
 * <p>Invariants: an attempt is over only by proof, never because time has passed; attempts that are
 * not proven over count against every limit; nothing is launched before it is written.
 *
 * <p>Nothing here is thread-safe: everything belongs to the thread of the shard's controller. Times
 * are seconds on the steady clock, or milliseconds since 1970 where a name ends in {@code Millis}.
 */
package io.kitepath.core.shard;
