/** Rendezvous hashing of keys over members. */
@NullMarked
package org.gentianwalk.core.hash;

import org.jspecify.annotations.NullMarked;
