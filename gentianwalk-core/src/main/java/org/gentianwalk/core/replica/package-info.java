/** Copies of running generations on other instances, and takeover after an instance is lost. */
@NullMarked
package org.gentianwalk.core.replica;

import org.jspecify.annotations.NullMarked;
