/** The way of one request through this instance, on the traffic loop. */
@NullMarked
package org.gentianwalk.gateway.traffic;

import org.jspecify.annotations.NullMarked;
