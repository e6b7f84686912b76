/**
 * The records in the store: their keys ({@link io.kitepath.core.state.StoreKeys}), loading them
 * when a shard leader begins ({@link io.kitepath.core.state.StateLoader}), and writing what differs
 * from then on ({@link io.kitepath.core.state.StateWriter}). The package may know the shard's state
 * and nothing of how placements are decided. It promises that every write depends on the revision
 * of the shard's record, the job's and the part's, and that an unknown outcome is settled by
 * sending the very same transaction again. Everything runs on the event loop.
 */
package io.kitepath.core.state;
