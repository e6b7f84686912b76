package io.kitepath.standin;

import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

final class CloudLink implements Cloud {
    private final World w;
    private final Node node;

    CloudLink(World w, Node node) {
        this.w = w;
        this.node = node;
    }

    @Override
    public void types(BiConsumer<Store.Outcome, List<MachineType>> answer) {
        node.after(0.05, () -> answer.accept(Store.Outcome.OK, List.of(w.type)));
    }

    @Override
    public void rent(String name, MachineKind kind, int count, BiConsumer<Store.Outcome, List<String>> answer) {
        w.after(0.05, () -> {
            w.cloud.rentals.add(name);
            List<String> got = new ArrayList<>();
            for (int i = 0; i < count && w.cloud.capacity > 0; i++, w.cloud.capacity--) {
                String id = String.format("i-9%05d", w.cloud.named++);
                got.add(id);
                boot(id, kind.zone());
            }
            node.after(0.05, () -> answer.accept(got.isEmpty() ? Store.Outcome.NO : Store.Outcome.OK, got));
        });
    }

    private void boot(String id, String zone) {
        double s = w.cloud.bootS.applyAsDouble(w.cloud.booted++);
        if (s == 0) {
            w.worker(id, zone);
            return;
        }
        w.cloud.machines.put(id, new Cloud.Listed(id, w.type.name(), zone, false, "starting", 0));
        w.after(s < 0 ? 1e9 : s, () -> {
            if (w.cloud.machines.containsKey(id)) {
                w.worker(id, zone);
            }
        });
    }

    @Override
    public void release(List<String> names, Consumer<Store.Outcome> answer) {
        w.after(0.05, () -> {
            names.forEach(n -> {
                w.cloud.machines.remove(n);
                w.cloud.released.add(n);
                if (w.workers.containsKey(n)) {
                    w.workers.get(n).die();
                }
            });
            node.after(0.05, () -> answer.accept(Store.Outcome.OK));
        });
    }

    @Override
    public void list(BiConsumer<Store.Outcome, List<Listed>> answer) {
        List<Listed> all = List.copyOf(w.cloud.machines.values());
        node.after(0.05, () -> answer.accept(Store.Outcome.OK, all));
    }
}
