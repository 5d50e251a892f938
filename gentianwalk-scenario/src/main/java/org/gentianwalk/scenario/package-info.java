/** Scripted scenarios: a topology, a workload, timed faults and expectations in one YAML file. */
@NullMarked
package org.gentianwalk.scenario;

import org.jspecify.annotations.NullMarked;
