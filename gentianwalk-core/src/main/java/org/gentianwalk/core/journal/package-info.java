/** At-most-once execution of non-idempotent calls. */
@NullMarked
package org.gentianwalk.core.journal;

import org.jspecify.annotations.NullMarked;
