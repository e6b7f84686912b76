package io.kitepath.core.port;

import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** The cloud, which rents out machines by the second. Answers come later, on the event loop. */
public interface Cloud {
    /**
     * A machine in the cloud's list.
     *
     * @param status as the cloud names it: {@code starting}, {@code running} ...
     * @param heldSeconds its age since the rental was requested
     */
    record ListedMachine(
            String machineId,
            String machineType,
            String zone,
            boolean spot,
            String status,
            double heldSeconds) {}

    /** Asks for the types that are offered, with their prices of now. */
    void listMachineTypes(BiConsumer<Store.Outcome, List<MachineType>> answer);

    /**
     * Rents machines; answers with their ids. REJECTED: no capacity.
     *
     * @param name makes the request idempotent: it must be used again after an unknown outcome, and
     *     never for anything else
     */
    void rent(
            String name,
            MachineKind kind,
            int count,
            BiConsumer<Store.Outcome, List<String>> answer);

    /** Ends rentals. OK: the machines and everything on them are gone. */
    void release(List<String> machines, Consumer<Store.Outcome> answer);

    /** Asks for all machines that are rented. The list may be old; see the settings. */
    void listMachines(BiConsumer<Store.Outcome, List<ListedMachine>> answer);
}
