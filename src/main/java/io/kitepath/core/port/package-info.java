/**
 * The ports of the core: what it asks of the world outside (state service, cloud, workers, peer
 * nodes, other cells, time). They use the types of {@code core.model} only.
 *
 * <p>An implementation answers every request at most once, later and on the event loop, and never
 * claims more than it knows: what may have happened is {@code UNKNOWN}. The core calls from the
 * event loop only.
 */
package io.kitepath.core.port;
