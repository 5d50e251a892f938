package org.gentianwalk.core.route;

import java.time.Duration;

/**
 * Properties of the model engines of a service.
 *
 * @param slots maximum batch size of an engine, generations
 * @param memoryTokens KV cache size, shared by generations, copies and cached prompts, tokens
 * @param tokensPerEvent output tokens in one event
 * @param keepsCopies true when engines can replicate the KV cache of a running generation to
 *     another
 * @param copyLifetime time for which a copy is kept after its last update
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
                    "slots, memory size and tokens per event must be positive");
        }
    }
}
