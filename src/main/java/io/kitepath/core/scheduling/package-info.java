/**
 * Scheduling decisions: the order in which waiting jobs are served ({@link
 * io.kitepath.core.scheduling.SchedulingQueue}), the machines their tasks are placed on by random
 * probes and scans ({@link io.kitepath.core.scheduling.ProbePlacement}), gangs, and the eviction of
 * work that gives way to other work ({@link io.kitepath.core.scheduling.Preemption}).
 *
 * <p>The package reads the shard's state and asks it to place, stop or reserve; it never changes an
 * attempt itself. The same state, time and random numbers give the same decisions. Everything runs
 * on the event loop.
 */
package io.kitepath.core.scheduling;
