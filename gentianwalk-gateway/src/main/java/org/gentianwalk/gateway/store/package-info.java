/** Keeps local copies of tables of the shared store, by complete reads and polls for changes. */
@NullMarked
package org.gentianwalk.gateway.store;

import org.jspecify.annotations.NullMarked;
