/**
 * The two ways to the workers: the HTTP interface that their heartbeats come in by, and the client
 * that sends commands to them directly.
 */
package io.kitepath.workers;
