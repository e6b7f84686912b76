package io.kitepath.core.model;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A type of machine that the cloud rents out.
 *
 * @param memoryGigabytes main memory
 * @param cacheGigabytes local space for container images
 * @param fetchGigabytesPerSecond how fast it fetches images, more or less
 * @param pricePerHour on demand
 * @param spotPricePerHour now, as a spot instance
 * @param bootSeconds from the rental until the worker reports, more or less
 * @param zones where it is offered
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

    /** The form that is kept in the state service; see {@link #fromRecord}. */
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
     * Reads what {@link #toRecord} made.
     *
     * @throws InvalidInputException if a field is missing or of the wrong kind
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
