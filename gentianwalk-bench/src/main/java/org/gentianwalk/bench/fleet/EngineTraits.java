package org.gentianwalk.bench.fleet;

/**
 * Properties of the modelled engines.
 *
 * @param slots maximum number of generations in a batch
 * @param queue maximum number of waiting generations
 * @param memoryTokens memory, in tokens
 * @param tokensPerEvent tokens per output event
 * @param stepMillis base duration of a step, milliseconds
 * @param stepMillisPerJob additional step time per running generation, milliseconds
 * @param prefillTokensPerMilli prefill rate, tokens per millisecond
 * @param chunkTokens maximum number of tokens prefilled in one step
 */
record EngineTraits(
        int slots,
        int queue,
        int memoryTokens,
        int tokensPerEvent,
        double stepMillis,
        double stepMillisPerJob,
        double prefillTokensPerMilli,
        int chunkTokens) {}
