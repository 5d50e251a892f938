/** The keys of the settings with their types, units, defaults and ranges. */
@NullMarked
package org.gentianwalk.core.config.schema;

import org.jspecify.annotations.NullMarked;
