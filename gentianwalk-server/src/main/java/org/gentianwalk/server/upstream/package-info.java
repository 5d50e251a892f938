/** HTTP client and poller of the model engines. */
@NullMarked
package org.gentianwalk.server.upstream;

import org.jspecify.annotations.NullMarked;
