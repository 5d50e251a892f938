/** Virtual time for simulations. */
@NullMarked
package org.gentianwalk.bench.clock;

import org.jspecify.annotations.NullMarked;
