/** Value types shared by all modules. */
@NullMarked
package org.gentianwalk.core.model;

import org.jspecify.annotations.NullMarked;
