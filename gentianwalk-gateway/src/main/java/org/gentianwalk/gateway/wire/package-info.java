/** What a deployment's HTTP messages mean, independent of how its headers are named. */
@NullMarked
package org.gentianwalk.gateway.wire;

import org.jspecify.annotations.NullMarked;
