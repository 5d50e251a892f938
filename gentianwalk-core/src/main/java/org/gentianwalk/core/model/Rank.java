package org.gentianwalk.core.model;

/** Service classes of requests. */
public enum Rank {
    /** Served first, with a latency target. */
    URGENT,
    /** Served with the capacity left by urgent work, but at least with its configured share. */
    STANDARD
}
