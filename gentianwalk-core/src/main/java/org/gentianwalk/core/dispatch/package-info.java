/**
 * Decisions on where and when requests run: the directory of upstreams, waiting, placement, retries
 * and refusals. Nothing here does I/O or reads a clock; callers pass monotonic nanoseconds.
 */
@NullMarked
package org.gentianwalk.core.dispatch;

import org.jspecify.annotations.NullMarked;
