package org.gentianwalk.core.dispatch;

/**
 * A generation that an instance runs at an engine, as other instances need to know it.
 *
 * @param engine identifier of the engine
 * @param part identifier of the last part of its prompt, by which a repeat of it is recognized; 0
 *     when it is not known
 * @param prompt tokens that the engine had to read when it started
 * @param memory tokens of engine memory that it takes up, with the output still expected
 * @param ageMillis time since it was sent to the engine, milliseconds
 * @param reading true until its first output
 * @param keeper identifier of the engine that keeps a copy of its memory; empty without one
 */
public record RunShare(
        String engine,
        long part,
        int prompt,
        int memory,
        int ageMillis,
        boolean reading,
        String keeper) {}
