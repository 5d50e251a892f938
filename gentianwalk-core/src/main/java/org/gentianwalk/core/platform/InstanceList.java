package org.gentianwalk.core.platform;

import java.util.List;
import org.gentianwalk.core.model.Location;

/** The platform's list of instances and upstreams. It is updated with a delay. */
public interface InstanceList {
    /**
     * Reads the current list.
     *
     * @return all entries
     * @throws PlatformException if the list can't be read
     */
    List<Entry> entries() throws PlatformException;

    /** Type of an entry. */
    enum Kind {
        INSTANCE,
        UPSTREAM
    }

    /** State according to the platform. */
    enum State {
        LIVE,
        LEAVING
    }

    /**
     * An entry of the list.
     *
     * @param id the identifier
     * @param kind whether it is an instance or an upstream
     * @param address IP address and port
     * @param location where it runs
     * @param state state according to the platform
     */
    record Entry(String id, Kind kind, String address, Location location, State state) {}
}
