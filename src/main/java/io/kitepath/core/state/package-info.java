/**
 * The records in the store: their keys, reading them when a holder begins, and writing what differs
 * from then on. It may know the block, and nothing of how placings are decided. It promises that
 * every write depends on the block's, the job's and the part's revision, and that an unknown
 * outcome is settled by the very same transaction.
 */
package io.kitepath.core.state;
