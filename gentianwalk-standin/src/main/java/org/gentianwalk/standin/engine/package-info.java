/** A stand-in for a model engine with deterministic tokens and fault hooks. */
@NullMarked
package org.gentianwalk.standin.engine;

import org.jspecify.annotations.NullMarked;
