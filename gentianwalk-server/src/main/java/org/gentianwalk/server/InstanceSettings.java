package org.gentianwalk.server;

import org.gentianwalk.core.model.Location;

/**
 * Settings that an instance needs before it has a configuration.
 *
 * <p>Example: {@code new InstanceSettings("i1", "127.0.0.1", 8080, location)}.
 *
 * @param id identifier, unique among instances
 * @param host address to listen on for callers
 * @param port port for callers, or 0 for a free one
 * @param location where the instance runs
 */
public record InstanceSettings(String id, String host, int port, Location location) {
    private static final int MAX_PORT = 65_535;

    public InstanceSettings {
        if (id.isEmpty()) {
            throw new IllegalArgumentException("the instance id must not be empty");
        }
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("port must be from 0 to " + MAX_PORT);
        }
    }

    /**
     * Changes the port.
     *
     * @param value port for callers, or 0 for a free one
     * @return changed settings
     */
    public InstanceSettings withPort(int value) {
        return new InstanceSettings(id, host, value, location);
    }
}
