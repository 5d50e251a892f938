/** Runs leases and placement, and sends orders to engines. */
@NullMarked
package org.gentianwalk.server.placement;

import org.jspecify.annotations.NullMarked;
