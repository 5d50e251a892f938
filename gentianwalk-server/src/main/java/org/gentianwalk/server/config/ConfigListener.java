package org.gentianwalk.server.config;

import java.util.List;
import org.gentianwalk.core.config.Problem;

/** Receives the decisions of {@link ConfigService}, for logs and metrics. Must not block. */
public interface ConfigListener {
    /** Listener that does nothing. */
    ConfigListener NONE = new ConfigListener() {};

    /**
     * Called when newer content is in force.
     *
     * @param before version before
     * @param after version now
     * @param source {@code store}, {@code operator} or {@code peer <id>}
     */
    default void adopted(long before, long after, String source) {}

    /**
     * Called when content was rejected because it does not match its digest.
     *
     * @param source where it came from
     * @param reason what differs
     */
    default void corrupt(String source, String reason) {}

    /**
     * Called when this instance can't use an accepted version and keeps the previous rules. This
     * happens when an older release receives settings that a newer one has validated.
     *
     * @param version the version
     * @param problems the problems that this instance found
     */
    default void unusable(long version, List<Problem> problems) {}

    /**
     * Called when the store did not answer a poll.
     *
     * @param cause what failed
     */
    default void pollFailed(String cause) {}
}
