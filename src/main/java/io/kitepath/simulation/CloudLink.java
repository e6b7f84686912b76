package io.kitepath.simulation;

import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

final class CloudLink implements Cloud {
    private final SimulatedCluster w;
    private final EmulatorClient node;

    CloudLink(SimulatedCluster w, EmulatorClient node) {
        this.w = w;
        this.node = node;
    }

    @Override
    public void types(BiConsumer<Store.Outcome, List<MachineType>> answer) {
        node.after(0.05, () -> answer.accept(Store.Outcome.OK, List.of(w.type)));
    }

    /** What the cloud does about a request, and what it answers. */
    private interface Act {
        Runnable run();
    }

    private void exchange(Act act, Consumer<Store.Outcome> failed) {
        node.sends();
        MemoryCloud c = w.cloud;
        if (c.withheld.test(node)) {
            c.heldBack.add(act::run);
            node.after(0.5, () -> failed.accept(Store.Outcome.UNKNOWN));
            return;
        }
        w.after(
                w.takes(0.05),
                () -> {
                    if (c.out) {
                        node.after(w.takes(0.05), () -> failed.accept(Store.Outcome.REFUSED));
                        return;
                    }
                    Runnable answer = act.run();
                    if (c.swallow > 0 || w.losesAnswer.getAsBoolean()) {
                        c.swallow -= c.swallow > 0 ? 1 : 0;
                        node.after(0.5, () -> failed.accept(Store.Outcome.UNKNOWN));
                    } else {
                        node.after(w.takes(0.05), answer);
                    }
                });
    }

    @Override
    public void rent(
            String name,
            MachineKind kind,
            int count,
            BiConsumer<Store.Outcome, List<String>> answer) {
        exchange(
                () -> {
                    w.cloud.rentals.add(name);
                    List<String> got = w.cloud.granted.get(name);
                    if (got == null) {
                        got = new ArrayList<>();
                        for (int i = 0;
                                i < count && w.cloud.capacity > 0;
                                i++, w.cloud.capacity--) {
                            String id = String.format("i-9%05d", w.cloud.named++);
                            got.add(id);
                            w.cloud.rentedAt.put(id, w.clock.now);
                            boot(id, kind.zone());
                        }
                        if (!got.isEmpty()) {
                            w.cloud.granted.put(name, got);
                        }
                    }
                    List<String> machines = got;
                    return () ->
                            answer.accept(
                                    machines.isEmpty() ? Store.Outcome.NO : Store.Outcome.OK,
                                    machines);
                },
                o -> answer.accept(o, List.of()));
    }

    private void boot(String id, String zone) {
        double s = w.cloud.bootS.applyAsDouble(w.cloud.booted++);
        if (s == 0) {
            w.worker(id, zone);
            return;
        }
        w.cloud.machines.put(id, new Cloud.Listed(id, w.type.name(), zone, false, "starting", 0));
        w.after(
                s < 0 ? 1e9 : s,
                () -> {
                    if (w.cloud.machines.containsKey(id)) {
                        w.worker(id, zone);
                    }
                });
    }

    @Override
    public void release(List<String> names, Consumer<Store.Outcome> answer) {
        exchange(
                () -> {
                    names.forEach(
                            n -> {
                                w.cloud.machines.remove(n);
                                w.cloud.released.add(n);
                                if (w.workers.containsKey(n)) {
                                    w.workers.get(n).die();
                                }
                            });
                    return () -> answer.accept(Store.Outcome.OK);
                },
                answer);
    }

    @Override
    public void list(BiConsumer<Store.Outcome, List<Listed>> answer) {
        if (w.cloud.out) {
            node.after(0.05, () -> answer.accept(Store.Outcome.REFUSED, List.of()));
            return;
        }
        List<Listed> all =
                w.cloud.machines.values().stream()
                        .filter(
                                m ->
                                        w.clock.now
                                                >= w.cloud.rentedAt.getOrDefault(m.machine(), -1e9)
                                                        + w.cloud.listLagS)
                        .toList();
        node.after(0.05, () -> answer.accept(Store.Outcome.OK, all));
    }
}
