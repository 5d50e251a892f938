/** Fair queues, the order of ranks, and cost estimates of work. */
@NullMarked
package org.gentianwalk.core.policy.admission;

import org.jspecify.annotations.NullMarked;
