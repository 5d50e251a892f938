/** The serving instance: its components, settings and life cycle. */
@NullMarked
package org.gentianwalk.server;

import org.jspecify.annotations.NullMarked;
