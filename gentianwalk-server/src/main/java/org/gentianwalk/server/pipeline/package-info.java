/** The path of a generation, from the parsed request to the released token. */
@NullMarked
package org.gentianwalk.server.pipeline;

import org.jspecify.annotations.NullMarked;
