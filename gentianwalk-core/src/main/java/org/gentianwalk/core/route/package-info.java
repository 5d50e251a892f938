/** The routing table: routes, services, limits and keys of one configuration version. */
@NullMarked
package org.gentianwalk.core.route;

import org.jspecify.annotations.NullMarked;
