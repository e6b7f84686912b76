package io.kitepath.core.role;

import io.kitepath.core.leadership.Incarnation;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Timers;
import java.util.Random;

/**
 * The collaborators and settings shared by the components of {@link LeasedRoles}.
 *
 * @param incarnation identifies this process among earlier and later ones of the same node
 * @param leaseSeconds time to live of the node's lease, counted from its last renewal
 */
record RoleContext(
        ClusterSettings settings,
        Store store,
        Timers timers,
        Random random,
        Incarnation incarnation,
        double leaseSeconds) {}
