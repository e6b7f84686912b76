/**
 * Makes scheduling decisions: the order in which waiting jobs are served ({@link
 * io.kitepath.core.scheduling.SchedulingQueue}), the machines on which their tasks are placed by
 * random probes and scans ({@link io.kitepath.core.scheduling.ProbePlacement}), the placement of
 * gangs, and the eviction of work that is preempted by other work ({@link
 * io.kitepath.core.scheduling.Preemption}).
 *
 * <p>The package reads the shard's state and requests placements, stops and reservations from it;
 * it never changes an attempt itself. The same state, time and random numbers lead to the same
 * decisions. All code runs on the event loop.
 */
package io.kitepath.core.scheduling;
