package org.gentianwalk.core.model;

/** Optional features of an engine, as listed for each upstream in the settings. */
public enum Capability {
    /** Continues a generation after given output tokens. */
    RESUME,
    /** Cancels a request by its identifier. */
    CANCEL,
    /** Orders its own queue by the request's priority. */
    PRIORITY,
    /** Refuses an order with a fencing token lower than the highest received. */
    FENCING,
    /** Publishes events about stored and evicted prefix blocks. */
    CACHE_EVENTS,
    /** Includes token identifiers and positions in each chunk. */
    TOKEN_IDS
}
