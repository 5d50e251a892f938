/** At-most-once execution of calls that are not idempotent. */
@NullMarked
package org.gentianwalk.core.journal;

import org.jspecify.annotations.NullMarked;
