/** Placement: decides which engine serves which models. */
@NullMarked
package org.gentianwalk.core.placement;

import org.jspecify.annotations.NullMarked;
