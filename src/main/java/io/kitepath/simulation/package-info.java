/**
 * Stand-ins for everything outside: a state service, a cloud, workers, and several cells with a
 * network between them, in memory, on a clock of their own, driving the real controllers. Tests
 * tell their stories with them, and {@code kitepath rehearse} its failures. Nothing waits for real
 * time, and nothing is random without a seed.
 */
package io.kitepath.simulation;
