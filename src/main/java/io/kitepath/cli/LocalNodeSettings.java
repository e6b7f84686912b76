package io.kitepath.cli;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.simulation.SimulatedCluster;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings documents of nodes that run on loopback against emulated services, in the form of a
 * node's settings file.
 *
 * @param publicAddresses where each node listens, by its index
 * @param internalAddresses where each node listens for its siblings, by its index
 * @param socketLimit how many sockets a node may have open
 */
record LocalNodeSettings(
        List<InetSocketAddress> publicAddresses,
        List<InetSocketAddress> internalAddresses,
        InetSocketAddress stateAddress,
        InetSocketAddress cloudAddress,
        SimulatedCluster cluster,
        int socketLimit) {
    private static final int DEFAULT_SOCKET_LIMIT = 1000;

    /** Settings with a limit of sockets that no local deployment reaches. */
    LocalNodeSettings(
            List<InetSocketAddress> publicAddresses,
            List<InetSocketAddress> internalAddresses,
            InetSocketAddress stateAddress,
            InetSocketAddress cloudAddress,
            SimulatedCluster cluster) {
        this(
                publicAddresses,
                internalAddresses,
                stateAddress,
                cloudAddress,
                cluster,
                DEFAULT_SOCKET_LIMIT);
    }

    /** The label of the node with that index. */
    static String label(int index) {
        return "node-" + index;
    }

    /** The settings document of the node with that index. */
    Map<String, Object> document(int index) {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("label", label(index));
        document.put("domain", cluster.zones.get(index % cluster.zones.size()));
        document.put("listen", LoopbackAddresses.text(publicAddresses.get(index)));
        document.put("internal_addr", LoopbackAddresses.text(internalAddresses.get(index)));
        document.put("siblings", siblings(index));
        document.put(
                "endpoints",
                Map.of(
                        "state",
                        LoopbackAddresses.text(stateAddress),
                        "cloud",
                        LoopbackAddresses.text(cloudAddress)));
        document.put("facts", facts());
        return document;
    }

    private List<Object> siblings(int index) {
        List<Object> siblings = new ArrayList<>();
        for (int j = 0; j < publicAddresses.size(); j++) {
            if (j != index) {
                siblings.add(
                        Map.of(
                                "label",
                                label(j),
                                "domain",
                                cluster.zones.get(j % cluster.zones.size()),
                                "addr",
                                LoopbackAddresses.text(internalAddresses.get(j))));
            }
        }
        return siblings;
    }

    private Map<String, Object> facts() {
        return Map.of(
                "zones",
                cluster.zones,
                "teams",
                List.of(Map.of("name", "red")),
                "workers",
                workers(cluster),
                "state",
                storeLimits(cluster.announcedStoreLimits),
                "cloud",
                Map.of("rps", 10, "list_lag_s", 2),
                "limits",
                Map.of("cpu", 1, "ram_mb", 200, "sockets", socketLimit));
    }

    private static Map<String, Object> workers(SimulatedCluster cluster) {
        return Map.of(
                "report_s",
                cluster.heartbeatIntervalSeconds,
                "lease_s",
                cluster.leaseSeconds,
                "gang_wait_s",
                30,
                "gang_peer_s",
                5,
                "cancel_s",
                30);
    }

    private static Map<String, Object> storeLimits(ClusterSettings.StoreLimits announced) {
        Map<String, Object> next =
                announced == null
                        ? Map.of()
                        : Map.of(
                                "value_kb",
                                announced.maxValueKibibytes(),
                                "txn_ops",
                                announced.maxTransactionOperations());
        return Map.of("rps", 1000, "write_rps", 500, "value_kb", 8, "txn_ops", 40, "next", next);
    }
}
