/**
 * Roles, which are work that only one controller may do at a time, and the requests to the cloud.
 *
 * <p>Each role is held under the holder's lease, with a fencing token that only rises ({@link
 * io.kitepath.core.role.LeasedRoles}). The cloud knows no fencing tokens, so each rental and
 * release is on record before it is sent, until the leader that wanted it, or its successor, knows
 * what came of it ({@link io.kitepath.core.role.CloudIntents}). One role sends these requests
 * ({@link io.kitepath.core.role.CloudIntentExecutor}), another removes records that nothing refers
 * to any more ({@link io.kitepath.core.role.GarbageCollector}).
 *
 * <p>The package may use the shard and the store's keys, and knows nothing of scaling plans. It
 * guarantees that no name of a rental is ever used for two requests, that a machine which is
 * recorded as released gets no work any more, and that a node begins nothing for a role which it
 * does not provably hold by its own clock.
 */
package io.kitepath.core.role;
