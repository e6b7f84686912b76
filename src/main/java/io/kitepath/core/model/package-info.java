/**
 * What the world looks like in words: jobs as their users described them, machine types, reports,
 * orders, settings. It knows nothing else of the core. Everything here is a value that never
 * changes, except {@link TokenBucket} and {@link DocumentReader}, which count and read; bad input
 * is always a {@link InvalidInputException} that names its field.
 */
package io.kitepath.core.model;
