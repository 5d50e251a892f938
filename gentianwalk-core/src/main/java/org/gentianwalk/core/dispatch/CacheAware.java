package org.gentianwalk.core.dispatch;

import java.util.List;

/** A scheduler that asks engines which prompts they keep. */
public interface CacheAware {
    /**
     * Returns the engines to be asked. Each is returned once; the answer is told by {@link #kept}.
     *
     * @return engines, often none
     */
    List<Upstream> takeInquiries();

    /**
     * Takes in what an engine keeps.
     *
     * @param engine the run of the engine
     * @param parts the parts of prompts that it keeps; empty as well when it did not answer
     * @param nowNanos current time
     */
    void kept(Upstream engine, List<Long> parts, long nowNanos);
}
