package io.kitepath.core.role;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.state.StoreKeys;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * A request to rent machines, or, once it is settled, rented machines that may still be missing
 * from the cloud's list of machines because that list lags.
 */
public final class RentalIntent extends CloudIntent {
    /** The request's name at the cloud, which is never used for another request. */
    public final String name;

    public final MachineKind kind;
    public final int machineCount;
    private final long fencingToken;
    private final double requestedAtMillis;

    /** The rented machines; empty until the outcome is known. */
    private Optional<List<String>> machines = Optional.empty();

    RentalIntent(
            String name,
            MachineKind kind,
            int machineCount,
            long fencingToken,
            double requestedAtMillis) {
        super(StoreKeys.RENTAL_INTENTS + name);
        this.name = name;
        this.kind = kind;
        this.machineCount = machineCount;
        this.fencingToken = fencingToken;
        this.requestedAtMillis = requestedAtMillis;
    }

    /**
     * Reads a record.
     *
     * @throws io.kitepath.core.model.InvalidInputException if the record is not a valid rental
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
        if (document.raw("machines") instanceof List<?> names) {
            rental.machines = Optional.of(names.stream().map(String.class::cast).toList());
        }
        rental.setRevision(entry.revision());
        return rental;
    }

    @Override
    Map<String, Object> toMap() {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("type", kind.machineType());
        record.put("zone", kind.zone());
        record.put("spot", kind.spot());
        record.put("count", (long) machineCount);
        record.put("token", fencingToken);
        record.put("askedMs", requestedAtMillis);
        machines.ifPresent(rented -> record.put("machines", rented));
        return record;
    }

    @Override
    public boolean isSettled() {
        return machines.isPresent();
    }

    @Override
    boolean isSettledWithoutEffect() {
        return machines.isPresent() && machines.get().isEmpty();
    }

    /** Returns the rented machines; empty if there are none or the outcome is not known yet. */
    public List<String> machines() {
        return machines.orElse(List.of());
    }

    void settle(List<String> rented) {
        machines = Optional.of(List.copyOf(rented));
    }

    @Override
    void sendTo(Cloud cloud, BiConsumer<Outcome, Runnable> onResponse) {
        cloud.rent(
                name,
                kind,
                machineCount,
                (outcome, rented) ->
                        onResponse.accept(
                                outcome, () -> settle(outcome == Outcome.OK ? rented : List.of())));
    }

    /** Returns when the rental was requested, in milliseconds since 1970. */
    double requestedAtMillis() {
        return requestedAtMillis;
    }
}
