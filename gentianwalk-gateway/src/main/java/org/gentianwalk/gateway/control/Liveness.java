package org.gentianwalk.gateway.control;

/** What a liveness check has shown about the process of an upstream. */
enum Liveness {
    /** The process responded in time. */
    RESPONDED,
    /** The process responded in time, and is about to end. */
    LEAVING,
    /** No response came in time. */
    SILENT,
    /** Nothing listens at the address of the process, or another process does. */
    ENDED;

    /** Returns whether the process responded in time. */
    boolean hasResponded() {
        return this == RESPONDED || this == LEAVING;
    }
}
