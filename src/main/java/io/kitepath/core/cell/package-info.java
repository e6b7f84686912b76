/**
 * Several cells that work as one cluster: which cell is the home of a job, what other cells have
 * room for, tasks lent to and borrowed from them, and the division of teams' quotas between them.
 *
 * <p>Summaries only steer decisions; records in the cells' stores decide. Each exchange follows one
 * pattern: what is handed over gets a number ({@link io.kitepath.core.cell.FencedSequence}), is
 * recorded, then sent until the other cell has recorded an answer ({@link
 * io.kitepath.core.cell.RetriedQuery}); the other cell answers after its own commit ({@link
 * io.kitepath.core.cell.PendingReplies}) and never accepts a number twice ({@link
 * io.kitepath.core.cell.VoidedNumbers}). docs/cells.md and docs/quota-shares.md describe the
 * protocols.
 *
 * <p>The package may use the shard, its records and what peer nodes answer, never a socket. All of
 * it runs on the node's event loop. None of it is loaded without a cells file.
 */
package io.kitepath.core.cell;
