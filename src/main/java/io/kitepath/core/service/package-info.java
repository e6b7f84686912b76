/**
 * What users ask and workers report, at any node: answered here, relayed, compared with the store,
 * or kept a moment. It may know all of the core but how work is placed and machines rented. It
 * promises that no answer is older than one given before, and that whoever can't be answered is
 * told so at once.
 */
package io.kitepath.core.service;
