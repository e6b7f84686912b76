/**
 * The records in the store: their keys ({@link io.kitepath.core.state.StoreKeys}), loading them
 * when a shard leader starts ({@link io.kitepath.core.state.StateLoader}), and writing all later
 * changes ({@link io.kitepath.core.state.StateWriter}). The package depends on the shard's state
 * but not on how placements are decided. It guarantees that every write is conditional on the
 * revisions of the shard's record, the job's record and the part's record, and that an unknown
 * outcome is resolved by sending the identical transaction again. Everything runs on the event
 * loop.
 */
package io.kitepath.core.state;
