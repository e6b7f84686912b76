/**
 * The HTTP API for users. It decodes requests, passes them to the core and encodes its responses.
 */
package io.kitepath.users;
