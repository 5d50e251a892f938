/** Logging in JSON lines, and the decision log. */
@NullMarked
package org.gentianwalk.server.log;

import org.jspecify.annotations.NullMarked;
