/**
 * Client of the cloud from which machines are rented: an implementation of {@link
 * io.kitepath.core.port.Cloud} over HTTP.
 */
package io.kitepath.cloud;
