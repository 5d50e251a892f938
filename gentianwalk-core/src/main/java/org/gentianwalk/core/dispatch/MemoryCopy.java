package org.gentianwalk.core.dispatch;

/**
 * Location of a copy of a generation's KV cache.
 *
 * @param address address of the engine that keeps the copy
 * @param name name of the copy at that engine
 */
public record MemoryCopy(String address, String name) {}
