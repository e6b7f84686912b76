/**
 * Client of the state service: an implementation of {@link io.kitepath.core.port.Store} over HTTP.
 */
package io.kitepath.store;
