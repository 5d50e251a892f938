package org.gentianwalk.core.dispatch;

/**
 * A scheduler that detects losses by missing output, and therefore has to know that no received
 * output is still unprocessed in the instance.
 */
public interface InputAware {
    /**
     * Returns whether {@link #recordProcessedInput} should be called as soon as possible.
     *
     * @return true while a loss detection depends on it
     */
    boolean awaitsInput();

    /**
     * Records that all data received from upstreams up to a time has been passed to the scheduler.
     *
     * @param nanos time up to which the data was received
     */
    void recordProcessedInput(long nanos);
}
