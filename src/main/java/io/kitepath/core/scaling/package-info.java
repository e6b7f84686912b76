/**
 * Scaling out and in: how many machines of which kinds are wanted and which are released ({@link
 * io.kitepath.core.scaling.ScalingPlanner}), and the reconciliation with the cloud that sees to it
 * ({@link io.kitepath.core.scaling.CloudReconciler}).
 *
 * <p>The package may use the shard's state, the scheduling order and the store's keys. It never
 * calls a machine gone before the cloud has confirmed its release, and never uses a rental's name
 * for two things. Everything runs on the event loop.
 */
package io.kitepath.core.scaling;
