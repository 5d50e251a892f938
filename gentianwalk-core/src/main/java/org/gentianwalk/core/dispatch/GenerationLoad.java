package org.gentianwalk.core.dispatch;

/**
 * Load of a running generation at an engine, as reported to other instances.
 *
 * @param engine identifier of the engine
 * @param part identifier of the last part of its prompt, by which repeated requests are recognized;
 *     0 when unknown
 * @param prompt tokens to prefill at the start of the attempt
 * @param memory KV cache memory including the expected output, tokens
 * @param ageMillis time since it was sent to the engine, milliseconds
 * @param prefilling true until its first output
 * @param copyHolder identifier of the engine that keeps a copy of its KV cache; empty for none
 * @param suspect true when it has lost an engine before its first output, and has had none since
 */
public record GenerationLoad(
        String engine,
        long part,
        int prompt,
        int memory,
        int ageMillis,
        boolean prefilling,
        String copyHolder,
        boolean suspect) {}
