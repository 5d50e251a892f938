/** Messages between instances: membership, load at the engines and changes read from the store. */
@NullMarked
package org.gentianwalk.gateway.fleet;

import org.jspecify.annotations.NullMarked;
