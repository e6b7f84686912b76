package io.kitepath.core.role;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Machines that are to be rented, or were and may not be on the cloud's list yet. */
public final class RentalIntent extends CloudIntent {
    /** The name of the request, which is never used for anything else. */
    public final String name;

    public final MachineKind kind;
    public final int count;
    private final long fencingToken;
    private final double requestedAtMillis;

    /** The machines that came of it; null until that is known. */
    private List<String> machines;

    RentalIntent(String name, MachineKind kind, int count, long token, double askedMs) {
        super(StoreKeys.RENTAL_INTENTS + name);
        this.name = name;
        this.kind = kind;
        this.count = count;
        this.fencingToken = token;
        this.requestedAtMillis = askedMs;
    }

    /**
     * Reads a record; throws {@link io.kitepath.core.model.InvalidInputException} if it is none.
     */
    static RentalIntent read(Entry entry) {
        DocumentReader document = DocumentReader.of(entry.value());
        RentalIntent rental =
                new RentalIntent(
                        entry.key().substring(StoreKeys.RENTAL_INTENTS.length()),
                        new MachineKind(
                                document.text("type"),
                                document.text("zone"),
                                document.flag("spot")),
                        (int) document.integer("count", 1, 1000),
                        document.count("token"),
                        document.number("askedMs", 0));
        if (document.raw("machines") instanceof List<?> l) {
            rental.machines = new ArrayList<>(l.stream().map(String.class::cast).toList());
        }
        rental.recorded(entry.revision());
        return rental;
    }

    @Override
    Map<String, Object> toMap() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("type", kind.machineType());
        m.put("zone", kind.zone());
        m.put("spot", kind.spot());
        m.put("count", (long) count);
        m.put("token", fencingToken);
        m.put("askedMs", requestedAtMillis);
        if (machines != null) {
            m.put("machines", machines);
        }
        return m;
    }

    @Override
    public boolean isSettled() {
        return machines != null;
    }

    /** The machines that came of it; empty if that is none, or not known yet. */
    public List<String> machines() {
        return machines == null ? List.of() : machines;
    }

    void settle(List<String> came) {
        machines = List.copyOf(came);
    }

    /** Milliseconds since 1970 at which it was put down. */
    double requestedAtMillis() {
        return requestedAtMillis;
    }
}
