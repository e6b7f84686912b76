/**
 * What the holder of a block of machines knows: jobs, machines, attempts, and what of it the store
 * was not told. It may know {@code model} and {@code port}. It promises that an attempt is over
 * only by proof, that unproven ones count against every limit, and that nothing is launched before
 * it is written.
 */
package io.kitepath.core.shard;
