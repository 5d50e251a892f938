/** The meaning of a deployment's HTTP headers, independent of their names. */
@NullMarked
package org.gentianwalk.gateway.wire;

import org.jspecify.annotations.NullMarked;
