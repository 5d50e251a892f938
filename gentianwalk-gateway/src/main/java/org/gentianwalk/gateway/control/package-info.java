/** The control thread: applies configuration and upstream changes, and runs the schedulers. */
@NullMarked
package org.gentianwalk.gateway.control;

import org.jspecify.annotations.NullMarked;
