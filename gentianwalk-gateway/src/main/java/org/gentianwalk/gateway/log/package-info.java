/** Log lines of an instance's decisions and of what it believes. */
@NullMarked
package org.gentianwalk.gateway.log;

import org.jspecify.annotations.NullMarked;
