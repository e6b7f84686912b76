/**
 * State of a shard as known to its leader: machines, jobs, attempts, and changes that are not
 * committed to the store yet. {@link io.kitepath.core.shard.ShardState} is the entry point; {@link
 * io.kitepath.core.shard.HeartbeatProcessor} reconciles the state with the agents' heartbeats. May
 * depend on {@code model} and {@code port} only.
 *
 * <p>Invariants: an attempt ends only by proof, never because time has passed; attempts that are
 * not confirmed ended count against every limit; nothing is launched before it is committed.
 *
 * <p>Nothing here is thread-safe: everything belongs to the thread of the shard's controller. Times
 * are seconds on the steady clock, or milliseconds since 1970 where a name ends in {@code Millis}.
 */
package io.kitepath.core.shard;
