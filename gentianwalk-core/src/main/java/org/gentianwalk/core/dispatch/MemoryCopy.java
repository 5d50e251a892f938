package org.gentianwalk.core.dispatch;

/**
 * Where a copy of a generation's memory lies.
 *
 * @param address address of the engine that keeps the copy
 * @param name name of the copy at that engine
 */
public record MemoryCopy(String address, String name) {}
