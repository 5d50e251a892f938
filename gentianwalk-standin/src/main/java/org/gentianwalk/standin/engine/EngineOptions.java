package org.gentianwalk.standin.engine;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import org.gentianwalk.core.model.Capability;

/**
 * Options of an engine stand-in.
 *
 * <p>Example: {@code EngineOptions.of("e1", "writer").withTiming(Timing.FAST)}.
 *
 * @param id identifier of the engine
 * @param models models it serves
 * @param slots generations in the batch at once
 * @param timing delays
 * @param cache prefix cache
 * @param capabilities optional abilities
 * @param samplesDifferently true when every engine continues the same tokens in its own way
 * @param tokensPerChunk tokens in one event
 */
public record EngineOptions(
        String id,
        Set<String> models,
        int slots,
        Timing timing,
        Cache cache,
        Set<Capability> capabilities,
        boolean samplesDifferently,
        int tokensPerChunk) {
    // An odd factor, so that engines with different hash codes have different salts.
    private static final long SALT = 0x5bd1e9955bd1e995L;

    public EngineOptions {
        if (slots < 1 || tokensPerChunk < 1) {
            throw new IllegalArgumentException("slots and tokensPerChunk must be at least 1");
        }
        models = Set.copyOf(models);
        capabilities = Set.copyOf(capabilities);
    }

    /**
     * Delays of an engine.
     *
     * @param prefillPerToken time for a prompt token that is not in the prefix cache
     * @param tokenInterval time between two output tokens
     * @param loadLag age of the published load report
     */
    public record Timing(Duration prefillPerToken, Duration tokenInterval, Duration loadLag) {
        /** Delays for tests: 10 µs a prompt token, 2 ms an output token, 50 ms lag. */
        public static final Timing FAST =
                new Timing(Duration.ofNanos(10_000), Duration.ofMillis(2), Duration.ofMillis(50));

        /** Delays like those of a real engine: 0.2 ms, 40 ms, 500 ms lag. */
        public static final Timing REALISTIC =
                new Timing(
                        Duration.ofNanos(200_000), Duration.ofMillis(40), Duration.ofMillis(500));
    }

    /**
     * Prefix cache.
     *
     * @param blocks capacity, blocks
     * @param eventDelay time until an event is published
     * @param gapEvery every how many events one is left out, or 0 for none
     */
    public record Cache(int blocks, Duration eventDelay, int gapEvery) {
        /** 4,096 blocks, events after 200 ms, every 50th missing. */
        public static final Cache DEFAULT = new Cache(4096, Duration.ofMillis(200), 50);
    }

    /**
     * Returns options for a fast engine with all capabilities and 32 slots.
     *
     * @param id identifier of the engine
     * @param model the model it serves
     * @return the options
     */
    public static EngineOptions of(String id, String model) {
        return new EngineOptions(
                id,
                Set.of(model),
                32,
                Timing.FAST,
                Cache.DEFAULT,
                EnumSet.allOf(Capability.class),
                false,
                1);
    }

    /**
     * Changes the delays.
     *
     * @param value the new delays
     * @return changed options
     */
    public EngineOptions withTiming(Timing value) {
        return new EngineOptions(
                id, models, slots, value, cache, capabilities, samplesDifferently, tokensPerChunk);
    }

    /**
     * Changes the batch size.
     *
     * @param value generations at once
     * @return changed options
     */
    public EngineOptions withSlots(int value) {
        return new EngineOptions(
                id, models, value, timing, cache, capabilities, samplesDifferently, tokensPerChunk);
    }

    /**
     * Changes the abilities.
     *
     * @param value the abilities
     * @return changed options
     */
    public EngineOptions withCapabilities(Set<Capability> value) {
        return new EngineOptions(
                id, models, slots, timing, cache, value, samplesDifferently, tokensPerChunk);
    }

    /**
     * Changes whether the engine samples in its own way.
     *
     * @param value true to make it differ from other engines
     * @return changed options
     */
    public EngineOptions withSampling(boolean value) {
        return new EngineOptions(
                id, models, slots, timing, cache, capabilities, value, tokensPerChunk);
    }

    /**
     * Changes the number of tokens in one event.
     *
     * @param value tokens
     * @return changed options
     */
    public EngineOptions withTokensPerChunk(int value) {
        return new EngineOptions(
                id, models, slots, timing, cache, capabilities, samplesDifferently, value);
    }

    /**
     * Returns the salt of the engine's token sequence.
     *
     * @return 0 unless the engine samples in its own way
     */
    public long salt() {
        return samplesDifferently ? SALT * (id.hashCode() * 2L + 1) : 0;
    }
}
