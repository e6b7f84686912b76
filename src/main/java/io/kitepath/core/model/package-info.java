/**
 * The data types of the core: jobs as described by their users, machine types, heartbeats and
 * commands, messages between cells, settings, metrics. The package depends on no other package of
 * the core.
 *
 * <p>The types are immutable values, except {@link io.kitepath.core.model.TokenBucket}, {@link
 * io.kitepath.core.model.LoopTimeAccounting} and the builder of jobs. Times and amounts are doubles
 * with their unit in the name. Points in time are seconds on the steady clock unless they are
 * milliseconds since 1970. Invalid input always causes an {@link
 * io.kitepath.core.model.InvalidInputException} that names the field.
 *
 * <p>Records are stored as maps of plain values. The names of their fields are part of the stored
 * form and never change; {@code toRecord} makes such a map and {@code fromRecord} reads it.
 */
package io.kitepath.core.model;
