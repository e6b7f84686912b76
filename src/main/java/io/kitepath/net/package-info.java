/**
 * An HTTP client and an HTTP server on the event loop, and its timers. Nothing here knows what the
 * requests are about.
 */
package io.kitepath.net;
