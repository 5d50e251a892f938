/** What instances tell each other: who lives, what they have at engines, what the store said. */
@NullMarked
package org.gentianwalk.gateway.fleet;

import org.jspecify.annotations.NullMarked;
