/** Rules that responses of upstreams and of the platform have to follow. */
@NullMarked
package org.gentianwalk.core.response;

import org.jspecify.annotations.NullMarked;
