/** Loads the operators' configuration and derives the rules for the serving path. */
@NullMarked
package org.gentianwalk.core.config;

import org.jspecify.annotations.NullMarked;
