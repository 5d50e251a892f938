/** Metrics and their export in the Prometheus text format. */
@NullMarked
package org.gentianwalk.server.metrics;

import org.jspecify.annotations.NullMarked;
