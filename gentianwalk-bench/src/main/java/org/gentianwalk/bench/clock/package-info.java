/** Virtual time of experiments. */
@NullMarked
package org.gentianwalk.bench.clock;

import org.jspecify.annotations.NullMarked;
