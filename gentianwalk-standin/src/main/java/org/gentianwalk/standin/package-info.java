/** Stand-ins for outside systems, embeddable and as processes. */
@NullMarked
package org.gentianwalk.standin;

import org.jspecify.annotations.NullMarked;
