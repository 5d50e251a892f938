/** Benchmark of the serving path of one instance over the loopback interface. */
@NullMarked
package org.gentianwalk.bench.path;

import org.jspecify.annotations.NullMarked;
