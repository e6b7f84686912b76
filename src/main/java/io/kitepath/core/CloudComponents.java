package io.kitepath.core;

import io.kitepath.core.leadership.Incarnation;
import io.kitepath.core.port.Store;
import io.kitepath.core.role.CloudIntentExecutor;
import io.kitepath.core.role.CloudIntents;
import io.kitepath.core.role.GarbageCollector;
import io.kitepath.core.role.LeasedRoles;
import io.kitepath.core.scaling.CloudReconciler;
import io.kitepath.core.scaling.ScalingPlanner;
import java.util.List;

/**
 * The components of a node that manage cloud machines and leased roles. The leader records rentals
 * and releases as cloud intents, and the node with the cloud role executes them. The cleanup role
 * removes garbage from the store. Roles are leased independently of leadership.
 */
final class CloudComponents {
    final CloudIntents intents;
    final CloudReconciler reconciler;
    final CloudIntentExecutor intentExecutor;
    final GarbageCollector garbageCollector;
    final LeasedRoles leasedRoles;

    /**
     * Creates the components. Draws from the environment's random source.
     *
     * @param node the node; its shard, scheduler and leadership must already be initialized
     */
    CloudComponents(NodeComponents node, NodeEnvironment environment, Incarnation incarnation) {
        Store store = environment.store();
        double leaseSeconds = node.leadership.leaseSeconds();
        this.intents = new CloudIntents(node.shard, node.timers, node::contributeToNextWrite);
        this.reconciler =
                new CloudReconciler(
                        node.shard,
                        new ScalingPlanner(node.shard, node.scheduler),
                        intents,
                        new CloudReconciler.Ports(store, environment.cloud(), node.timers),
                        node.leadership::isLeading,
                        node::requestRound);
        this.intentExecutor =
                new CloudIntentExecutor(
                        node.settings,
                        store,
                        environment.cloud(),
                        node.timers,
                        environment.random(),
                        leaseSeconds);
        this.garbageCollector = new GarbageCollector(node.settings, store, node.timers);
        this.leasedRoles =
                new LeasedRoles(
                        node.settings,
                        store,
                        node.timers,
                        environment.random(),
                        incarnation,
                        leaseSeconds,
                        List.of(intentExecutor, garbageCollector));
    }
}
