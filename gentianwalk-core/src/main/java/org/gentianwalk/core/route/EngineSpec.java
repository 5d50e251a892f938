package org.gentianwalk.core.route;

import java.time.Duration;

/**
 * Properties of the model engines of a service.
 *
 * @param slots generations that an engine batches at once
 * @param memoryTokens tokens that running generations, copies and cached prompts share
 * @param tokensPerEvent output tokens that one event holds
 * @param keepsCopies true when an engine can send a generation's memory to another as it grows
 * @param copyLifetime how long a copy stays after its last part arrived
 */
public record EngineSpec(
        int slots,
        int memoryTokens,
        int tokensPerEvent,
        boolean keepsCopies,
        Duration copyLifetime) {
    public EngineSpec {
        if (slots < 1 || memoryTokens < 1 || tokensPerEvent < 1) {
            throw new IllegalArgumentException(
                    "slots, memory and tokens of an event must be positive");
        }
    }
}
