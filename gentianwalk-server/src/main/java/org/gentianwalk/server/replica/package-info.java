/** Replication of running generations over the mesh. */
@NullMarked
package org.gentianwalk.server.replica;

import org.jspecify.annotations.NullMarked;
