/** The command line. */
@NullMarked
package org.gentianwalk.cli;

import org.jspecify.annotations.NullMarked;
