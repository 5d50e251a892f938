/** Checkers of histories, one for each guarantee. */
@NullMarked
package org.gentianwalk.history.check;

import org.jspecify.annotations.NullMarked;
