/**
 * What the core asks of the world outside: a store, a cloud, workers, siblings, time. It knows the
 * words of {@code model} only. Whoever implements it answers every question at most once, later, on
 * the event loop, and never says more than it knows: an outcome that may have happened is {@code
 * UNKNOWN}.
 */
package io.kitepath.core.port;
