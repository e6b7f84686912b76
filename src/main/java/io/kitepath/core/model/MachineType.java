package io.kitepath.core.model;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

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

    public Map<String, Object> toRecord() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("name", name);
        m.put("cpus", cpus);
        m.put("gpus", gpus);
        m.put("memory", memoryGigabytes);
        m.put("cache", cacheGigabytes);
        m.put("fetch", fetchGigabytesPerSecond);
        m.put("price", pricePerHour);
        m.put("spotPrice", spotPricePerHour);
        m.put("boot", bootSeconds);
        m.put("zones", zones);
        return m;
    }

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
