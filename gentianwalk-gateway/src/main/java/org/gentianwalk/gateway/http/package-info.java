/** HTTP connections to callers and upstreams. All classes are confined to the traffic loop. */
@NullMarked
package org.gentianwalk.gateway.http;

import org.jspecify.annotations.NullMarked;
