package org.gentianwalk.server.admin;

import java.util.Collection;
import java.util.Map;

/** Operations on an instance for the operators' interface. Only {@link #status} may block. */
public interface InstanceControl {
    /**
     * Returns the state of the instance.
     *
     * @return values by name: strings, numbers, booleans, and lists or maps of them
     */
    Map<String, Object> status();

    /**
     * Returns the upstreams that can be drained.
     *
     * @return their names, sorted
     */
    Collection<String> upstreams();

    /**
     * Stops sending new work to an upstream, immediately at this instance and shortly after at the
     * others. Running work continues.
     *
     * @param upstream one of {@link #upstreams}
     */
    void drain(String upstream);

    /**
     * Ends the draining of an upstream at all instances.
     *
     * @param upstream one of {@link #upstreams}
     */
    void undrain(String upstream);

    /** Starts a graceful shutdown: accepts no new work and stops when running work has finished. */
    void shutdown();
}
