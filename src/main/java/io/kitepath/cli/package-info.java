/**
 * The program: its entry point, the commands, and the wiring of a node with its sockets and timers.
 * It may know every other package; none knows it.
 */
package io.kitepath.cli;
