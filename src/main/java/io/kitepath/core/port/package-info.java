/**
 * The ports of the core: interfaces to external systems (state service, cloud, workers, peers,
 * remote cells, time). They use only types of {@code core.model}.
 *
 * <p>An implementation responds to every request at most once, asynchronously and on the event
 * loop. It never reports more than it knows: if a request may have been executed, its outcome is
 * {@code UNKNOWN}. The core calls the ports from the event loop only.
 */
package io.kitepath.core.port;
