package org.gentianwalk.core.platform;

/** The platform's rate-limited store of model weights. */
public interface WeightStore {
    /** Response to a request for weights. */
    sealed interface Grant {
        /** The load may start. */
        record Granted() implements Grant {}

        /** The rate limit is reached; retry after the given time. */
        record Throttled(java.time.Duration retryAfter) implements Grant {}
    }

    /**
     * Requests that the weights of a model be made available to an engine.
     *
     * @param model the model
     * @return whether the load may start now
     * @throws PlatformException if the store can't be reached
     */
    Grant request(String model) throws PlatformException;
}
