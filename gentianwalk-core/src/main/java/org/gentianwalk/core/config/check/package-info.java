/** Checks of the settings; each check is a class. */
@NullMarked
package org.gentianwalk.core.config.check;

import org.jspecify.annotations.NullMarked;
