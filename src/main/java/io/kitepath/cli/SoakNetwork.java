package io.kitepath.cli;

import io.kitepath.simulation.LoopbackRelay;
import io.kitepath.simulation.LoopbackRelay.Mode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** The links of a soak run's nodes: to the state service, to each other, to workers and users. */
final class SoakNetwork {
    private final EventLoop loop;
    private final List<InetSocketAddress> publicAddresses = new ArrayList<>();
    private final List<InetSocketAddress> internalAddresses = new ArrayList<>();
    private final List<LoopbackRelay> userLinks = new ArrayList<>();
    private final List<InetSocketAddress> userAddresses = new ArrayList<>();
    private final List<LoopbackRelay> workerLinks = new ArrayList<>();
    private final List<InetSocketAddress> workerAddresses = new ArrayList<>();
    private final List<LoopbackRelay> storeLinks = new ArrayList<>();
    private final List<InetSocketAddress> storeAddresses = new ArrayList<>();

    /** By the node that connects, and by the one that accepts; a node does not use its own. */
    private final List<List<LoopbackRelay>> peerLinks = new ArrayList<>();

    private final List<List<InetSocketAddress>> peerAddresses = new ArrayList<>();

    /** Creates the links on which users, workers and peers reach the nodes. */
    SoakNetwork(EventLoop loop, int nodeCount) throws IOException, InterruptedException {
        this.loop = loop;
        for (int node = 0; node < nodeCount; node++) {
            publicAddresses.add(LoopbackAddresses.free());
            internalAddresses.add(LoopbackAddresses.free());
            userAddresses.add(link(publicAddresses.get(node), userLinks));
            workerAddresses.add(link(publicAddresses.get(node), workerLinks));
        }
        for (int from = 0; from < nodeCount; from++) {
            List<LoopbackRelay> links = new ArrayList<>();
            List<InetSocketAddress> addresses = new ArrayList<>();
            for (int to = 0; to < nodeCount; to++) {
                addresses.add(link(internalAddresses.get(to), links));
            }
            // A node's own entry is where it listens.
            addresses.set(from, internalAddresses.get(from));
            peerLinks.add(links);
            peerAddresses.add(addresses);
        }
    }

    /** Creates the links from the nodes to the state service. */
    void connectStore(InetSocketAddress store) throws InterruptedException {
        for (int node = 0; node < publicAddresses.size(); node++) {
            storeAddresses.add(link(store, storeLinks));
        }
    }

    private InetSocketAddress link(InetSocketAddress target, List<LoopbackRelay> links)
            throws InterruptedException {
        LoopbackRelay relay = new LoopbackRelay(loop, target);
        links.add(relay);
        return relay.start();
    }

    /** Where each node listens. */
    List<InetSocketAddress> publicAddresses() {
        return publicAddresses;
    }

    /** Where users reach each node. */
    List<InetSocketAddress> userAddresses() {
        return userAddresses;
    }

    /** Where workers reach each node. */
    List<InetSocketAddress> workerAddresses() {
        return workerAddresses;
    }

    /** Where that node listens for its peers, and reaches each of them. */
    List<InetSocketAddress> internalAddressesFor(int node) {
        return peerAddresses.get(node);
    }

    /** Where that node reaches the state service. */
    InetSocketAddress storeAddressFor(int node) {
        return storeAddresses.get(node);
    }

    void setUserLink(int node, Mode mode) {
        userLinks.get(node).setMode(mode);
    }

    void setWorkerLink(int node, Mode mode) {
        workerLinks.get(node).setMode(mode);
    }

    void setStoreLink(int node, Mode mode) {
        storeLinks.get(node).setMode(mode);
    }

    /** Changes all links between that node and its peers, in both directions. */
    void setPeerLinks(int node, Mode mode) {
        for (int peer = 0; peer < peerLinks.size(); peer++) {
            if (peer != node) {
                peerLinks.get(node).get(peer).setMode(mode);
                peerLinks.get(peer).get(node).setMode(mode);
            }
        }
    }

    /** Opens all links. */
    void heal() {
        for (int node = 0; node < publicAddresses.size(); node++) {
            setUserLink(node, Mode.OPEN);
            setWorkerLink(node, Mode.OPEN);
            setStoreLink(node, Mode.OPEN);
            setPeerLinks(node, Mode.OPEN);
        }
    }
}
