/**
 * One controller node without network access. {@link io.kitepath.core.Controller} is its interface
 * for users, workers, peers and operators. {@code NodeComponents} connects the components from the
 * subpackages. {@code LeaderLoop} and {@code RoundRunner} do the leader's work. {@code
 * LeadershipTransitions} and {@code ShardEvents} handle elections and changes of the stored
 * records.
 *
 * <p>This package depends on all its subpackages, and none of them depends on it. All code runs on
 * one event loop, receives time and random numbers from its environment, and accesses no file,
 * socket or clock directly.
 */
package io.kitepath.core;
