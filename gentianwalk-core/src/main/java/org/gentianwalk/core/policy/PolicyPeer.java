package org.gentianwalk.core.policy;

import java.util.List;
import java.util.Map;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.policy.fairness.PolicyMessage;

/** Interface of a scheduler towards the schedulers of other instances. */
public interface PolicyPeer {
    /**
     * Replaces the set of live instances.
     *
     * @param live all live instances including this one, with their locations
     * @param nowNanos current time
     */
    void replaceMembers(Map<String, Location> live, long nowNanos);

    /**
     * Returns the messages that are due. Called at least every 100 ms.
     *
     * @param nowNanos current time
     * @return messages to send to other instances
     */
    List<PolicyMessage.Addressed> messages(long nowNanos);

    /**
     * Processes a message from another instance.
     *
     * @param message the message
     * @param nowNanos time of receipt
     */
    void receive(PolicyMessage message, long nowNanos);
}
