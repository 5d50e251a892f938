/**
 * A whole instance: the serving path together with mesh, membership, configuration and platform.
 */
@NullMarked
package org.gentianwalk.server.node;

import org.jspecify.annotations.NullMarked;
