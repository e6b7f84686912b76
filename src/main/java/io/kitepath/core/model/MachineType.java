package io.kitepath.core.model;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A machine type that the cloud offers.
 *
 * @param memoryGigabytes the main memory
 * @param cacheGigabytes the local disk space for container images
 * @param fetchGigabytesPerSecond the approximate rate at which a machine fetches images
 * @param pricePerHour the on-demand price
 * @param spotPricePerHour the current price of a spot instance
 * @param bootSeconds the approximate time from the rental to the worker's first heartbeat
 * @param zones the zones where the type is offered
 */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memoryGigabytes,
        double cacheGigabytes,
        double fetchGigabytesPerSecond,
        double pricePerHour,
        double spotPricePerHour,
        double bootSeconds,
        List<String> zones) {

    /** Returns the stored form; see {@link #fromRecord}. */
    public Map<String, Object> toRecord() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", name);
        fields.put("cpus", cpus);
        fields.put("gpus", gpus);
        fields.put("memory", memoryGigabytes);
        fields.put("cache", cacheGigabytes);
        fields.put("fetch", fetchGigabytesPerSecond);
        fields.put("price", pricePerHour);
        fields.put("spotPrice", spotPricePerHour);
        fields.put("boot", bootSeconds);
        fields.put("zones", zones);
        return fields;
    }

    /**
     * Reads a map made by {@link #toRecord}.
     *
     * @throws InvalidInputException if a field is missing or of the wrong type
     */
    public static MachineType fromRecord(DocumentReader document) {
        return new MachineType(
                document.text("name"),
                document.number("cpus", 0),
                document.number("gpus", 0),
                document.number("memory", 0),
                document.number("cache", 0),
                document.number("fetch", 0),
                document.number("price", 0),
                document.number("spotPrice", 0),
                document.number("boot", 0),
                document.texts("zones"));
    }
}
