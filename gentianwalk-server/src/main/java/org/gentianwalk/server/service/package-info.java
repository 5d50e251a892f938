/** Endpoint and client for calls of plain services. */
@NullMarked
package org.gentianwalk.server.service;

import org.jspecify.annotations.NullMarked;
