/** A stand-in for a plain service that counts executions. */
@NullMarked
package org.gentianwalk.standin.service;

import org.jspecify.annotations.NullMarked;
