package org.gentianwalk.core.config.version;

import java.util.List;
import java.util.function.Function;
import org.gentianwalk.core.hash.Rendezvous;

/**
 * Selects the instances that poll the store for the whole fleet in a time slot. The selection
 * changes with each slot, so that a paused or dead member affects one slot only.
 */
public final class PollSchedule {
    /** Number of instances that poll in a slot; see design section 5.6. */
    public static final int POLLERS = 3;

    /** Length of a slot, milliseconds. */
    public static final long SLOT_MS = 1000;

    private PollSchedule() {}

    /**
     * Returns the pollers of a slot.
     *
     * @param members the live members
     * @param epochMs wall-clock time, milliseconds since the epoch
     * @param <T> type of the members
     * @return at most three members
     */
    public static <T> List<T> pollers(Rendezvous<T> members, long epochMs) {
        return members.top("config-poll/" + Math.floorDiv(epochMs, SLOT_MS), POLLERS);
    }

    /**
     * Returns whether an instance polls in the current slot.
     *
     * @param members the live members
     * @param id returns the identifier of a member
     * @param self identifier of the instance
     * @param epochMs wall-clock time, milliseconds since the epoch
     * @param <T> type of the members
     * @return true if the instance is one of the pollers of the slot
     */
    public static <T> boolean isPoller(
            Rendezvous<T> members, Function<T, String> id, String self, long epochMs) {
        return pollers(members, epochMs).stream().map(id).anyMatch(self::equals);
    }
}
