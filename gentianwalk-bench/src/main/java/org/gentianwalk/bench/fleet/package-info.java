/**
 * A model of instances before model engines, on virtual time: patterns of load and failure run
 * against the schedulers that instances use.
 */
@NullMarked
package org.gentianwalk.bench.fleet;

import org.jspecify.annotations.NullMarked;
