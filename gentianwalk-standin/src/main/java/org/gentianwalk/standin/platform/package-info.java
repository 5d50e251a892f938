/** Stand-ins of the platform's services, over HTTP and in memory, with fault hooks for tests. */
@NullMarked
package org.gentianwalk.standin.platform;

import org.jspecify.annotations.NullMarked;
