/** Interfaces of the platform's services: table, objects, instance list and weight store. */
@NullMarked
package org.gentianwalk.core.platform;

import org.jspecify.annotations.NullMarked;
