/**
 * Simulation of instances and model engines in virtual time: load and failure patterns run against
 * the schedulers that instances use.
 */
@NullMarked
package org.gentianwalk.bench.fleet;

import org.jspecify.annotations.NullMarked;
