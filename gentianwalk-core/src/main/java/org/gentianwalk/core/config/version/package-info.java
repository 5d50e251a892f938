/** Versions of the configuration: local state, commits and polling of the store. */
@NullMarked
package org.gentianwalk.core.config.version;

import org.jspecify.annotations.NullMarked;
