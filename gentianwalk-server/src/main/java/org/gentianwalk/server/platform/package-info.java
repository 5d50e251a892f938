/** HTTP clients of the platform's services. */
@NullMarked
package org.gentianwalk.server.platform;

import org.jspecify.annotations.NullMarked;
