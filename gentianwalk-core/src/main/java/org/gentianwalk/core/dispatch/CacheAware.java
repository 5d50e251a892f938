package org.gentianwalk.core.dispatch;

import java.util.List;

/** A scheduler that queries engines for the prompts in their prefix caches. */
public interface CacheAware {
    /**
     * Returns the engines to query, each once. The answer is passed to {@link #recordCachedParts}.
     *
     * @return the engines; usually empty
     */
    List<Upstream> takeCacheQueries();

    /**
     * Records the cached prompts of an engine.
     *
     * @param engine the engine that was queried
     * @param parts identifiers of the prompt parts in its cache; empty also when the query failed
     * @param nowNanos current time
     */
    void recordCachedParts(Upstream engine, List<Long> parts, long nowNanos);
}
