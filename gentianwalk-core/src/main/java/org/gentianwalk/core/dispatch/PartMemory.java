package org.gentianwalk.core.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Which engine has read which prompt last, so that a request that comes again goes on there, or its
 * engine fetches what is kept there. What is remembered may be out of date; it costs a prompt read
 * anew then.
 */
final class PartMemory {
    /** Entries kept; at 60 bytes each this is about a megabyte. */
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
     * Records that an engine keeps a part.
     *
     * @param part the last part of a prompt; 0 is not recorded
     * @param engine identifier of the engine's run
     */
    void kept(long part, String engine) {
        if (part != 0) {
            mEngines.put(part, engine);
        }
    }

    /** Returns the run of an engine that keeps a part, or null when none is known. */
    @Nullable String engine(long part) {
        return part == 0 ? null : mEngines.get(part);
    }
}
