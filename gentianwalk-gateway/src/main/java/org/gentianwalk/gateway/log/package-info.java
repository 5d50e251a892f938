/** Log lines for decisions about requests and changes of the instance's state. */
@NullMarked
package org.gentianwalk.gateway.log;

import org.jspecify.annotations.NullMarked;
