/**
 * Answers users' requests and workers' heartbeats, at any node. Users' requests ({@link
 * io.kitepath.core.service.JobApi}) are answered from the store, many status queries by one
 * comparison of keys; heartbeats ({@link io.kitepath.core.service.HeartbeatService}) are answered
 * by the leader, and redirected, relayed or parked by the other nodes.
 *
 * <p>The package may use all of the core except for scheduling and scaling. It guarantees that no
 * answer is older than one that was given before, and that whoever can't be answered is told so at
 * once. Everything runs on the event loop.
 */
package io.kitepath.core.service;
