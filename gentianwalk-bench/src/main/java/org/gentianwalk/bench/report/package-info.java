/** Pages with plots rendered from benchmark reports, and comparisons of two reports. */
@NullMarked
package org.gentianwalk.bench.report;

import org.jspecify.annotations.NullMarked;
