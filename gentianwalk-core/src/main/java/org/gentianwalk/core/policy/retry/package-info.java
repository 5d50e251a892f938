/** Retry budgets. */
@NullMarked
package org.gentianwalk.core.policy.retry;

import org.jspecify.annotations.NullMarked;
