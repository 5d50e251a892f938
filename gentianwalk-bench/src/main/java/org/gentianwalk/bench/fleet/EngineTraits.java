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
 * @param noise how the speed of the engine's machine varies
 */
record EngineTraits(
        int slots,
        int queue,
        int memoryTokens,
        int tokensPerEvent,
        double stepMillis,
        double stepMillisPerJob,
        double prefillTokensPerMilli,
        int chunkTokens,
        Noise noise) {
    /** Creates traits of engines whose machines run at constant speed. */
    EngineTraits(
            int slots,
            int queue,
            int memoryTokens,
            int tokensPerEvent,
            double stepMillis,
            double stepMillisPerJob,
            double prefillTokensPerMilli,
            int chunkTokens) {
        this(
                slots,
                queue,
                memoryTokens,
                tokensPerEvent,
                stepMillis,
                stepMillisPerJob,
                prefillTokensPerMilli,
                chunkTokens,
                Noise.NONE);
    }

    /**
     * Other work on the machine of an engine.
     *
     * @param share fraction of the time in which the machine is slow
     * @param factor multiplier of the step time while it is slow
     * @param intervalMillis time after which the machine may become slow or fast again
     */
    record Noise(double share, double factor, long intervalMillis) {
        static final Noise NONE = new Noise(0, 1, 1_000);
    }
}
