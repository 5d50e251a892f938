/**
 * Request scheduling: the directory of upstreams, queueing, placement, retries and refusals.
 * Nothing here does I/O or reads a clock; callers pass monotonic times in nanoseconds.
 */
@NullMarked
package org.gentianwalk.core.dispatch;

import org.jspecify.annotations.NullMarked;
