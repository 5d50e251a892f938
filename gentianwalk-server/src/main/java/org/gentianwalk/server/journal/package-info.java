/** Runs the call journal on traffic threads against the table service and other instances. */
@NullMarked
package org.gentianwalk.server.journal;

import org.jspecify.annotations.NullMarked;
