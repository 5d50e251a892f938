/** Trees of parsed YAML files, with the file and line of each value. */
@NullMarked
package org.gentianwalk.core.config.tree;

import org.jspecify.annotations.NullMarked;
