/**
 * Connects the scheduler, the configuration and the drain marks of an instance with the mesh, and
 * polls the platform's instance list.
 */
@NullMarked
package org.gentianwalk.server.control;

import org.jspecify.annotations.NullMarked;
