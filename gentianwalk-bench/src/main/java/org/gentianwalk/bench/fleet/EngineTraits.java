package org.gentianwalk.bench.fleet;

/**
 * Properties of the modelled engines.
 *
 * @param slots generations in a batch
 * @param queue generations that may wait besides
 * @param memoryTokens tokens of memory
 * @param tokensPerEvent tokens in one event
 * @param stepMillis time of a step, milliseconds
 * @param stepMillisPerJob further time for each running generation
 * @param readTokensPerMilli prompt tokens read in a millisecond
 * @param chunkTokens prompt tokens read in one step at most
 */
record EngineTraits(
        int slots,
        int queue,
        int memoryTokens,
        int tokensPerEvent,
        double stepMillis,
        double stepMillisPerJob,
        double readTokensPerMilli,
        int chunkTokens) {}
