/** The control thread: configuration, upstreams and schedulers, and what it decides. */
@NullMarked
package org.gentianwalk.gateway.control;

import org.jspecify.annotations.NullMarked;
