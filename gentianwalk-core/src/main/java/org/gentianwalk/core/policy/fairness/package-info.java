/** Fair shares of teams across instances, without a central limiter. */
@NullMarked
package org.gentianwalk.core.policy.fairness;

import org.jspecify.annotations.NullMarked;
