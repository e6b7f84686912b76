package io.kitepath.simulation;

import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** One node's connection to the simulated cloud, with its latency, faults and lost responses. */
final class SimulatedCloudClient implements Cloud {
    private final SimulatedCluster cluster;
    private final EmulatorClient node;

    SimulatedCloudClient(SimulatedCluster cluster, EmulatorClient node) {
        this.cluster = cluster;
        this.node = node;
    }

    @Override
    public void listMachineTypes(BiConsumer<Store.Outcome, List<MachineType>> answer) {
        node.schedule(0.05, () -> answer.accept(Store.Outcome.OK, List.of(cluster.type)));
    }

    /** What the cloud does about a request, and what it answers. */
    private interface Act {
        Runnable run();
    }

    private void exchange(Act act, Consumer<Store.Outcome> failed) {
        node.onRequestSent();
        InMemoryCloud c = cluster.cloud;
        if (c.holdsBackRequestsOf.test(node)) {
            c.heldBackRequests.add(act::run);
            node.schedule(0.5, () -> failed.accept(Store.Outcome.UNKNOWN));
            return;
        }
        cluster.after(
                cluster.messageLatencySeconds(0.05),
                () -> {
                    if (c.unavailable) {
                        node.schedule(
                                cluster.messageLatencySeconds(0.05),
                                () -> failed.accept(Store.Outcome.NOT_EXECUTED));
                        return;
                    }
                    Runnable answer = act.run();
                    if (c.responsesToLose > 0 || cluster.losesNextResponse.getAsBoolean()) {
                        c.responsesToLose -= c.responsesToLose > 0 ? 1 : 0;
                        node.schedule(0.5, () -> failed.accept(Store.Outcome.UNKNOWN));
                    } else {
                        node.schedule(cluster.messageLatencySeconds(0.05), answer);
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
                    cluster.cloud.rentals.add(name);
                    List<String> got = cluster.cloud.granted.get(name);
                    if (got == null) {
                        got = new ArrayList<>();
                        for (int i = 0;
                                i < count && cluster.cloud.capacity > 0;
                                i++, cluster.cloud.capacity--) {
                            String id = String.format("i-9%05d", cluster.cloud.nameCount++);
                            got.add(id);
                            cluster.cloud.rentedAt.put(id, cluster.clock.now);
                            boot(id, kind.zone());
                        }
                        if (!got.isEmpty()) {
                            cluster.cloud.granted.put(name, got);
                        }
                    }
                    List<String> machines = got;
                    return () ->
                            answer.accept(
                                    machines.isEmpty() ? Store.Outcome.REJECTED : Store.Outcome.OK,
                                    machines);
                },
                outcome -> answer.accept(outcome, List.of()));
    }

    private void boot(String id, String zone) {
        double s = cluster.cloud.bootSeconds.applyAsDouble(cluster.cloud.bootCount++);
        if (s == 0) {
            cluster.worker(id, zone);
            return;
        }
        cluster.cloud.machines.put(
                id, new Cloud.ListedMachine(id, cluster.type.name(), zone, false, "starting", 0));
        cluster.after(
                s < 0 ? 1e9 : s,
                () -> {
                    if (cluster.cloud.machines.containsKey(id)) {
                        cluster.worker(id, zone);
                    }
                });
    }

    @Override
    public void release(List<String> names, Consumer<Store.Outcome> answer) {
        exchange(
                () -> {
                    names.forEach(
                            n -> {
                                cluster.cloud.machines.remove(n);
                                cluster.cloud.released.add(n);
                                if (cluster.workers.containsKey(n)) {
                                    cluster.workers.get(n).die();
                                }
                            });
                    return () -> answer.accept(Store.Outcome.OK);
                },
                answer);
    }

    @Override
    public void listMachines(BiConsumer<Store.Outcome, List<ListedMachine>> answer) {
        if (cluster.cloud.unavailable) {
            node.schedule(0.05, () -> answer.accept(Store.Outcome.NOT_EXECUTED, List.of()));
            return;
        }
        List<ListedMachine> all =
                cluster.cloud.machines.values().stream()
                        .filter(
                                listed ->
                                        cluster.clock.now
                                                >= cluster.cloud.rentedAt.getOrDefault(
                                                                listed.machineId(), -1e9)
                                                        + cluster.cloud.listLagSeconds)
                        .toList();
        node.schedule(0.05, () -> answer.accept(Store.Outcome.OK, all));
    }
}
