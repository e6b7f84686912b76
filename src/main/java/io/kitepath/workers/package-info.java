/**
 * The two interfaces to workers: the HTTP API that receives their heartbeats, and the client that
 * sends commands to them directly.
 */
package io.kitepath.workers;
