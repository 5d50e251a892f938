/**
 * The configuration service of an instance: commits changes, polls the store and pulls from peers.
 */
@NullMarked
package org.gentianwalk.server.config;

import org.jspecify.annotations.NullMarked;
