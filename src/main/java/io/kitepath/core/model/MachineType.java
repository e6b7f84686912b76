package io.kitepath.core.model;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memoryGb,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        List<String> zones) {

    public Map<String, Object> toRecord() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("name", name);
        m.put("cpus", cpus);
        m.put("gpus", gpus);
        m.put("memory", memoryGb);
        m.put("cache", cacheGb);
        m.put("fetch", fetchGbPerS);
        m.put("price", price);
        m.put("spotPrice", spotPrice);
        m.put("boot", bootS);
        m.put("zones", zones);
        return m;
    }

    public static MachineType fromRecord(DocumentReader t) {
        return new MachineType(
                t.text("name"),
                t.number("cpus", 0),
                t.number("gpus", 0),
                t.number("memory", 0),
                t.number("cache", 0),
                t.number("fetch", 0),
                t.number("price", 0),
                t.number("spotPrice", 0),
                t.number("boot", 0),
                t.texts("zones"));
    }
}
