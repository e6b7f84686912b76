package io.kitepath.core.scheduling;

/** Counts placement operations since this node started, for the metrics. */
final class PlacementCounters {
    long probes;
    long passedProbes;
    long scans;
    long inspectedMachines;
}
