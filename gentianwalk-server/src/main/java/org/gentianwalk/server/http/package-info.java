/** The HTTP server for callers: request bodies, responses and connection monitoring. */
@NullMarked
package org.gentianwalk.server.http;

import org.jspecify.annotations.NullMarked;
