/**
 * One controller node without its sockets. {@link io.kitepath.core.Controller} is what users,
 * workers, peers and operators see of it; {@code NodeComponents} connects the parts from the
 * packages below; {@code LeaderLoop} and {@code RoundRunner} are the leader's work; {@code
 * LeadershipTransitions} and {@code ShardEvents} react to elections and to the stored records.
 *
 * <p>This package knows all packages below it and none of them knows it. Everything runs on one
 * event loop, takes time and random numbers from outside, and touches no file, socket or clock of
 * its own.
 */
package io.kitepath.core;
