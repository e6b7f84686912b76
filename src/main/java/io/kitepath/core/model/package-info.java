/**
 * What the world looks like in words: jobs as their users described them, machine types, reports,
 * orders, settings. It knows nothing else of the core. Everything here is a value that never
 * changes, except {@link Bucket} and {@link Tree}, which count and read; bad input is always a
 * {@link Malformed} that names its field.
 */
package io.kitepath.core.model;
