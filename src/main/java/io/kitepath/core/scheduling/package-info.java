/**
 * Decisions about where waiting work goes: order of service, probes, scans, gangs, and who gives
 * way to whom. It may read the block and asks it to place, stop or reserve; it never changes an
 * attempt itself. The same block, time and random numbers give the same decisions.
 */
package io.kitepath.core.scheduling;
