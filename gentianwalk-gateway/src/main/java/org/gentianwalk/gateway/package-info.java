/** An instance between callers and upstreams, as a library. */
@NullMarked
package org.gentianwalk.gateway;

import org.jspecify.annotations.NullMarked;
