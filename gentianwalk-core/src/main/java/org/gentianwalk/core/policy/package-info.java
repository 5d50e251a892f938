/** Scheduling of generations: admission, fairness, routing, retries and suspect requests. */
@NullMarked
package org.gentianwalk.core.policy;

import org.jspecify.annotations.NullMarked;
