package io.kitepath.core.port;

import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import java.util.List;
import java.util.function.BiConsumer;

/** Rents machines by the second. */
public interface Cloud {
    record ListedMachine(
            String machineId,
            String machineType,
            String zone,
            boolean spot,
            String status,
            double heldSeconds) {}

    void listMachineTypes(BiConsumer<Store.Outcome, List<MachineType>> answer);

    /**
     * NO: no capacity. The same name must be used again after an unknown outcome, and never for
     * anything else.
     */
    void rent(
            String name,
            MachineKind kind,
            int count,
            BiConsumer<Store.Outcome, List<String>> answer);

    /** OK: the machines and everything on them are gone. */
    void release(List<String> machines, java.util.function.Consumer<Store.Outcome> answer);

    void listMachines(BiConsumer<Store.Outcome, List<ListedMachine>> answer);
}
