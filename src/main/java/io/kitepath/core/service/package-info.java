/**
 * Serves users' requests and workers' heartbeats, at any node. Users' requests ({@link
 * io.kitepath.core.service.JobApi}) are served from the store, many status queries by one
 * comparison of keys. The leader responds to heartbeats ({@link
 * io.kitepath.core.service.HeartbeatService}); the other nodes redirect, relay or park them.
 *
 * <p>The package may use all of the core except for scheduling and scaling. It guarantees that no
 * response is older than an earlier one, and that a request that can't be served is refused
 * immediately. Everything runs on the event loop.
 */
package io.kitepath.core.service;
