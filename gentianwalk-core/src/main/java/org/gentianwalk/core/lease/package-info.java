/** Leases with fencing tokens, and the rule for when their holder may send orders. */
@NullMarked
package org.gentianwalk.core.lease;

import org.jspecify.annotations.NullMarked;
