package io.kitepath.core;

import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.DirectCommands;
import io.kitepath.core.port.PeerNodes;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Timers;
import java.util.Random;

/**
 * Everything a node is given from outside. All of it is used on the node's event loop only.
 *
 * @param store the state service
 * @param cloud rents and releases machines
 * @param directCommands sends commands straight to workers
 * @param timers the clocks, and the event loop's timers
 * @param peerNodes the other nodes of the cluster
 * @param random the source of all jitter and random choice; the order of draws from it is part of a
 *     simulation's determinism
 */
public record NodeEnvironment(
        Store store,
        Cloud cloud,
        DirectCommands directCommands,
        Timers timers,
        PeerNodes peerNodes,
        Random random) {}
