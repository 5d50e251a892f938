/** The routing table: routes, services, limits and API keys of one configuration version. */
@NullMarked
package org.gentianwalk.core.route;

import org.jspecify.annotations.NullMarked;
