/** The settings file of an instance. */
@NullMarked
package org.gentianwalk.gateway.settings;

import org.jspecify.annotations.NullMarked;
