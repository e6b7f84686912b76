package io.kitepath.standin;

import io.kitepath.core.port.Cloud;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.IntToDoubleFunction;

/** What the cloud has rented out, and how it behaves. */
public final class MemoryCloud {
    public final TreeMap<String, Cloud.Listed> machines = new TreeMap<>();
    public final List<String> rentals = new ArrayList<>();
    public final List<String> released = new ArrayList<>();
    public int capacity;
    /** When the n-th rented machine comes up, in seconds; negative: never. */
    public IntToDoubleFunction bootS = n -> 0;
    public int booted;
    public int named;
}
