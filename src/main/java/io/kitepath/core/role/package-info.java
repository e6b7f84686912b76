/**
 * Duties: what only one controller may do, each held under a lease with a token that only rises,
 * and what is asked of the cloud, where nobody checks tokens: on record before it is asked for,
 * until its outcome is known to whoever wanted it. It knows the block and the store's keys, and
 * nothing of plans. It promises that no name of a rental is ever used for two things, that a
 * machine that was put down as going takes no work from anybody any more, and that nothing is begun
 * by a node that can't prove by its own clock that the duty is its own.
 */
package io.kitepath.core.role;
