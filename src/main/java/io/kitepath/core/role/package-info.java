/**
 * Leased roles, which are work that only one controller may do at a time, and requests to the
 * cloud.
 *
 * <p>Each role is held under its holder's lease, with a fencing token that only increases ({@link
 * io.kitepath.core.role.LeasedRoles}). The cloud does not check fencing tokens. Therefore each
 * rental and release is recorded before it is sent, and stays recorded until the leader that
 * requested it, or its successor, has processed its outcome ({@link
 * io.kitepath.core.role.CloudIntents}). One role sends these requests ({@link
 * io.kitepath.core.role.CloudIntentExecutor}), another removes orphaned records ({@link
 * io.kitepath.core.role.GarbageCollector}).
 *
 * <p>The package may use the shard and the store's keys, and does not depend on scaling plans. It
 * guarantees that no name of a rental is ever used for two requests, that a machine with a recorded
 * release gets no further work, and that a node starts no action for a role that it does not
 * provably hold by its own clock.
 */
package io.kitepath.core.role;
