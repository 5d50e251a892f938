package org.gentianwalk.core.dispatch;

/**
 * A scheduler that draws conclusions from silence, and therefore has to know that no output waits
 * unread in the instance.
 */
public interface InputAware {
    /**
     * Tells whether {@link #inputTaken} should be called as soon as it can be.
     *
     * @return true while a conclusion waits for it
     */
    boolean awaitsInput();

    /**
     * Records that everything that had arrived from upstreams at a time has been told.
     *
     * @param nanos the time
     */
    void inputTaken(long nanos);
}
