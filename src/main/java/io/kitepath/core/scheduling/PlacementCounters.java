package io.kitepath.core.scheduling;

/** Counts of what placement did since this node started, for the metrics. */
final class PlacementCounters {
    long probes;
    long passedProbes;
    long scans;
    long inspectedMachines;
}
