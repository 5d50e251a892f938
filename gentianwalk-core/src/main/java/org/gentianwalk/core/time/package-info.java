/** Sources of monotonic time. */
@NullMarked
package org.gentianwalk.core.time;

import org.jspecify.annotations.NullMarked;
