package org.gentianwalk.core.rollout;

/** Phase of a rollout. */
public enum RolloutPhase {
    /** The new version gets a limited number of requests. */
    OBSERVING,
    /** All new attempts go to the new version. */
    MOVING,
    /** The new version is in force; the others stop. */
    COMPLETED,
    /** The new version gets no request any more. */
    ROLLED_BACK;

    /**
     * Returns whether the phase never ends.
     *
     * @return true for {@link #COMPLETED} and {@link #ROLLED_BACK}
     */
    public boolean isFinal() {
        return this == COMPLETED || this == ROLLED_BACK;
    }
}
