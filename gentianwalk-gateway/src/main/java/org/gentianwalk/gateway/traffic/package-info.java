/** Request handling on the traffic loop, from the caller to upstreams and back. */
@NullMarked
package org.gentianwalk.gateway.traffic;

import org.jspecify.annotations.NullMarked;
