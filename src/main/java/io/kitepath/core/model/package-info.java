/**
 * The vocabulary of the core: jobs as their users described them, machine types, heartbeats and
 * commands, messages between cells, settings, metrics. It depends on nothing else of the core.
 *
 * <p>The types are immutable values, except {@link io.kitepath.core.model.TokenBucket}, {@link
 * io.kitepath.core.model.LoopTimeAccounting} and the builder of jobs. Times and amounts are doubles
 * with their unit in the name; moments are seconds on the steady clock unless they are milliseconds
 * since 1970. Bad input is always an {@link io.kitepath.core.model.InvalidInputException} that
 * names its field.
 *
 * <p>Records are stored as maps of plain values, whose names are part of the stored form and never
 * change; {@code toRecord} makes such a map and {@code fromRecord} reads it.
 */
package io.kitepath.core.model;
