package io.kitepath.core;

import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.DirectCommands;
import io.kitepath.core.port.PeerNodes;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Timers;
import java.util.Random;

/**
 * The external services, clocks and random source of a node. They are used on the node's event loop
 * only.
 *
 * @param store the state service
 * @param cloud rents and releases machines
 * @param directCommands sends commands directly to workers
 * @param timers the clocks and the timers of the event loop
 * @param peerNodes the other nodes of the cluster
 * @param random the source of all jitter and random choices; deterministic simulations depend on
 *     the order of draws from it
 */
public record NodeEnvironment(
        Store store,
        Cloud cloud,
        DirectCommands directCommands,
        Timers timers,
        PeerNodes peerNodes,
        Random random) {}
