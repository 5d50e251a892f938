/** Membership of the mesh: the instances detect by mutual probes which of them are alive. */
@NullMarked
package org.gentianwalk.core.membership;

import org.jspecify.annotations.NullMarked;
