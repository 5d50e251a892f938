/** Errors of request processing and the result type that carries them. */
@NullMarked
package org.gentianwalk.core.error;

import org.jspecify.annotations.NullMarked;
