/**
 * An HTTP client, an HTTP server and timers on the event loop, independent of the content of the
 * requests.
 */
package io.kitepath.net;
