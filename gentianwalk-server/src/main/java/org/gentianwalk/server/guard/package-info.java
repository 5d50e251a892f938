/** Keeps a failure in one part of an instance from ending the other parts. */
@NullMarked
package org.gentianwalk.server.guard;

import org.jspecify.annotations.NullMarked;
