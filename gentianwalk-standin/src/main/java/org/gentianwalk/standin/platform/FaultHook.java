package org.gentianwalk.standin.platform;

/** Decides the fault of each operation. Implementations are called from several threads. */
@FunctionalInterface
public interface FaultHook {
    /**
     * Chooses the fault of an operation that is about to start.
     *
     * @param operation the operation
     * @param key the row, object or model concerned, or the prefix of a list
     * @return the fault, {@link Fault#NONE} for none
     */
    Fault next(Operation operation, String key);
}
