package io.kitepath.simulation;

import io.kitepath.core.port.Cloud;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntToDoubleFunction;
import java.util.function.Predicate;

/** What the cloud has rented out, and how it behaves. */
public final class InMemoryCloud {
    public final TreeMap<String, Cloud.ListedMachine> machines = new TreeMap<>();

    /** The names of all requests to rent that it executed, whatever came of them. */
    public final List<String> rentals = new ArrayList<>();

    public final List<String> released = new ArrayList<>();
    public int capacity;

    /** When the n-th rented machine comes up, in seconds; negative: never. */
    public IntToDoubleFunction bootSeconds = n -> 0;

    public int bootCount;
    public int nameCount;

    /** How long after they were rented lists do not show machines. */
    public double listLagSeconds;

    /** It refuses everything. */
    public boolean unavailable;

    /**
     * Requests to rent or release, by the node that sent them, that a network keeps: they run when
     * it lets them.
     */
    public Predicate<EmulatorClient> holdsBackRequestsOf = client -> false;

    public final List<Runnable> heldBackRequests = new ArrayList<>();

    /** The next requests are executed, but nobody hears of it. */
    public int responsesToLose;

    /** What came of each name, and when each machine was rented. */
    final Map<String, List<String>> granted = new HashMap<>();

    final Map<String, Double> rentedAt = new HashMap<>();
}
