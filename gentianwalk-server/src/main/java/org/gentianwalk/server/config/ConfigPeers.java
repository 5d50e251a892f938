package org.gentianwalk.server.config;

import java.util.Optional;
import org.gentianwalk.proto.ConfigContent;

/** Access to the configuration of other instances. Calls block; safe for any thread. */
public interface ConfigPeers {
    /** Members that are notified immediately of a newer version; each of them notifies as many. */
    int FANOUT = 2;

    /**
     * Requests newer content from a peer.
     *
     * @param peer the instance that announced a version
     * @param haveVersion version of this instance, 0 to request all files
     * @return the content, or empty when the peer did not answer
     */
    Optional<ConfigContent> pull(String peer, long haveVersion);

    /**
     * Announces a newer version immediately to {@link #FANOUT} random members. With probes alone it
     * took up to 5.8 s to reach all of 350 instances (ConfigServiceTest); the limit is 5 s.
     *
     * @param version the version that this instance has just adopted
     */
    void announce(long version);
}
