/** Append-only histories of concurrent runs. */
@NullMarked
package org.gentianwalk.history;

import org.jspecify.annotations.NullMarked;
