package org.gentianwalk.core.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Maps prompts to the engine that prefilled them last, so that a repeated request is sent there, or
 * its engine fetches the cached prompt from there. An entry may be stale; the cost is that the
 * prompt is prefilled again.
 */
final class PromptCacheIndex {
    /** Maximum number of entries; at 60 bytes each about a megabyte. */
    private static final int MAX_ENTRIES = 16_384;

    private final Map<Long, String> mEngines =
            new LinkedHashMap<>(256, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
                    return size() > MAX_ENTRIES;
                }
            };

    /**
     * Records that an engine has a prompt part in its cache.
     *
     * @param part the last part of a prompt; 0 is not recorded
     * @param engine identifier of the engine
     */
    void put(long part, String engine) {
        if (part != 0) {
            mEngines.put(part, engine);
        }
    }

    /** Returns the identifier of the engine that has a part in its cache, or null if unknown. */
    @Nullable String engine(long part) {
        return part == 0 ? null : mEngines.get(part);
    }
}
