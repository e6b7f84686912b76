/**
 * Scaling out and in: plans how many machines of which kinds to rent and which to release ({@link
 * io.kitepath.core.scaling.ScalingPlanner}), and reconciles the plan with the cloud ({@link
 * io.kitepath.core.scaling.CloudReconciler}).
 *
 * <p>The package may use the shard's state, the scheduling order and the store's keys. It never
 * treats a machine as gone before the cloud has confirmed its release, and never uses a rental's
 * name for two rentals. Everything runs on the event loop.
 */
package io.kitepath.core.scaling;
