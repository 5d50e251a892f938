/** Detection of requests that crash the engines they run on. */
@NullMarked
package org.gentianwalk.core.policy.suspect;

import org.jspecify.annotations.NullMarked;
