/**
 * The client of the cloud that machines are rented from: an implementation of {@link
 * io.kitepath.core.port.Cloud} over HTTP.
 */
package io.kitepath.cloud;
