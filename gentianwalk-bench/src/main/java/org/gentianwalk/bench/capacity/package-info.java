/** Measures how the cost of each role scales and extrapolates it to the planned size. */
@NullMarked
package org.gentianwalk.bench.capacity;

import org.jspecify.annotations.NullMarked;
