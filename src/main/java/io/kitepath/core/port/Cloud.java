package io.kitepath.core.port;

import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The cloud, which rents out machines by the second. Responses arrive asynchronously on the event
 * loop.
 */
public interface Cloud {
    /**
     * A machine in the cloud's list.
     *
     * @param status the status as named by the cloud, such as {@code starting} or {@code running}
     * @param ageSeconds the time since the rental was requested
     */
    record ListedMachine(
            String machineId,
            String machineType,
            String zone,
            boolean spot,
            String status,
            double ageSeconds) {}

    /** Requests the offered machine types with their current prices. */
    void listMachineTypes(BiConsumer<Store.Outcome, List<MachineType>> callback);

    /**
     * Rents machines and responds with their ids. REJECTED: no capacity.
     *
     * @param name the name that makes the request idempotent; it must be reused for the retry after
     *     an unknown outcome, and for no other request
     */
    void rent(
            String name,
            MachineKind kind,
            int count,
            BiConsumer<Store.Outcome, List<String>> callback);

    /** Ends rentals. OK: the machines and all tasks on them have ended. */
    void release(List<String> machines, Consumer<Store.Outcome> callback);

    /**
     * Requests the list of all rented machines. It may be out of date; see {@code
     * ClusterSettings.CloudLimits}.
     */
    void listMachines(BiConsumer<Store.Outcome, List<ListedMachine>> callback);
}
