/** Authenticated messages between instances over TCP. */
@NullMarked
package org.gentianwalk.server.mesh;

import org.jspecify.annotations.NullMarked;
