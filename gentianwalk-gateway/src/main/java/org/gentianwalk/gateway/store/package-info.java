/** Watches tables of the shared store: whole reads, then changes, and whole reads again. */
@NullMarked
package org.gentianwalk.gateway.store;

import org.jspecify.annotations.NullMarked;
