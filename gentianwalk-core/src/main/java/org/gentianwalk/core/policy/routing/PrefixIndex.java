package org.gentianwalk.core.policy.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Index of the prompt blocks that engines probably hold in their prefix caches, built from cache
 * events and from this instance's requests. It is a bounded LRU map. A wrong entry costs a prefill
 * but does not affect the output.
 */
public final class PrefixIndex {
    /** Maximum number of engines kept for one block; more do not change the choice. */
    private static final int MAX_HOLDERS = 8;

    private final Map<Long, String[]> mHolders;

    /**
     * Creates an empty index.
     *
     * @param maxEntries maximum number of blocks kept
     */
    public PrefixIndex(int maxEntries) {
        mHolders =
                new LinkedHashMap<>(256, 0.75f, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, String[]> eldest) {
                        return size() > maxEntries;
                    }
                };
    }

    /**
     * Records that an engine stored blocks.
     *
     * @param engine the engine
     * @param blocks hashes of the blocks
     */
    public void recordStored(String engine, List<Long> blocks) {
        for (Long block : blocks) {
            mHolders.merge(block, new String[] {engine}, (held, added) -> with(held, engine));
        }
    }

    /**
     * Records that an engine evicted blocks.
     *
     * @param engine the engine
     * @param blocks hashes of the blocks
     */
    public void recordEvicted(String engine, List<Long> blocks) {
        for (Long block : blocks) {
            mHolders.computeIfPresent(block, (key, held) -> without(held, engine));
        }
    }

    /**
     * Finds the engines that hold the beginning of a prompt.
     *
     * @param blocks hashes of the prompt's blocks in order
     * @return number of leading blocks held, by engine
     */
    public Map<String, Integer> matchingBlocks(List<Long> blocks) {
        Map<String, Integer> matches = new HashMap<>();
        for (int i = 0; i < blocks.size(); i++) {
            String[] held = mHolders.get(blocks.get(i));
            if (held == null) {
                break;
            }
            for (String engine : held) {
                int depth = matches.getOrDefault(engine, 0);
                if (depth == i) {
                    matches.put(engine, i + 1);
                }
            }
        }
        return matches;
    }

    /**
     * Returns the number of blocks.
     *
     * @return entries
     */
    public int size() {
        return mHolders.size();
    }

    private static String[] with(String[] held, String engine) {
        for (String holder : held) {
            if (holder.equals(engine)) {
                return held;
            }
        }
        int kept = Math.min(held.length, MAX_HOLDERS - 1);
        String[] added = new String[kept + 1];
        System.arraycopy(held, held.length - kept, added, 0, kept);
        added[kept] = engine;
        return added;
    }

    private static String @org.jspecify.annotations.Nullable [] without(
            String[] held, String engine) {
        List<String> left = new java.util.ArrayList<>(List.of(held));
        left.remove(engine);
        return left.isEmpty() ? null : left.toArray(new String[0]);
    }
}
