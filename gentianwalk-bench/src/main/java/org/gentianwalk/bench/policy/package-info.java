/** Benchmarks of the scheduling policy under load, on a virtual clock with simulated engines. */
@NullMarked
package org.gentianwalk.bench.policy;

import org.jspecify.annotations.NullMarked;
