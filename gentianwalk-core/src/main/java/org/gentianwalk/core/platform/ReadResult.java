package org.gentianwalk.core.platform;

/** Result of a read. */
public sealed interface ReadResult {
    /** The row exists. */
    record Found(Row row) implements ReadResult {}

    /** The row does not exist. */
    record Missing() implements ReadResult {}

    /** The service did not respond; it is unknown whether the row exists. */
    record Unavailable(String cause) implements ReadResult {}
}
