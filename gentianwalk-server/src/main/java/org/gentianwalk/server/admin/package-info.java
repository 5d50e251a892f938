/** The HTTP interface for operators. */
@NullMarked
package org.gentianwalk.server.admin;

import org.jspecify.annotations.NullMarked;
