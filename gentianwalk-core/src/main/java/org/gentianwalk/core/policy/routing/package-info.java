/** Engine selection by load, cached prefixes, distance and health. */
@NullMarked
package org.gentianwalk.core.policy.routing;

import org.jspecify.annotations.NullMarked;
