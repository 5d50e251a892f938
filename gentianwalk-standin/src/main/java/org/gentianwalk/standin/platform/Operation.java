package org.gentianwalk.standin.platform;

/** Operations of the platform's services, as fault hooks and rate limits see them. */
public enum Operation {
    READ(false),
    LIST(false),
    WRITE(true),
    DELETE(true),
    TRANSACTION(true),
    OBJECT_READ(false),
    OBJECT_WRITE(true),
    OBJECT_DELETE(true),
    INSTANCES(false),
    WEIGHTS(false);

    private final boolean mWrites;

    Operation(boolean writes) {
        mWrites = writes;
    }

    /**
     * Tells whether the operation changes state.
     *
     * @return true for writes and deletes
     */
    public boolean writes() {
        return mWrites;
    }
}
