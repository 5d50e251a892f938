/**
 * Rollouts of a new version of a service's upstreams: observation of both versions, the number of
 * requests that the new one may get, and the verdict. Nothing here does I/O or reads a clock;
 * callers pass monotonic times in nanoseconds.
 */
@NullMarked
package org.gentianwalk.core.rollout;

import org.jspecify.annotations.NullMarked;
