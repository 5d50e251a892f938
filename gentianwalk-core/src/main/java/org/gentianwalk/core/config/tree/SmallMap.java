package org.gentianwalk.core.config.tree;

import java.util.AbstractMap;
import java.util.AbstractSet;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * An immutable map for few entries, which keeps them in insertion order in two arrays. At 9,500
 * teams and 12,000 engines the settings contain about 40,000 small maps; as hash tables, they would
 * account for most of the memory.
 */
final class SmallMap extends AbstractMap<String, Node> {
    /** Number of entries up to which a linear search is as fast as a hash table. */
    static final int MAX_ENTRIES = 8;

    private final String[] mKeys;
    private final Node[] mValues;

    private SmallMap(Map<String, Node> entries) {
        mKeys = entries.keySet().toArray(new String[0]);
        mValues = entries.values().toArray(new Node[0]);
    }

    /** Returns an immutable copy, backed by arrays when there are few entries. */
    static Map<String, Node> copyOf(Map<String, Node> entries) {
        if (entries instanceof SmallMap) {
            return entries;
        }
        return entries.size() <= MAX_ENTRIES
                ? new SmallMap(entries)
                : Collections.unmodifiableMap(new LinkedHashMap<>(entries));
    }

    @Override
    public @Nullable Node get(@Nullable Object key) {
        for (int i = 0; i < mKeys.length; i++) {
            if (mKeys[i].equals(key)) {
                return mValues[i];
            }
        }
        return null;
    }

    @Override
    public boolean containsKey(@Nullable Object key) {
        return get(key) != null;
    }

    @Override
    public Set<Map.Entry<String, Node>> entrySet() {
        return new AbstractSet<>() {
            @Override
            public int size() {
                return mKeys.length;
            }

            @Override
            public Iterator<Map.Entry<String, Node>> iterator() {
                return new Entries();
            }
        };
    }

    private final class Entries implements Iterator<Map.Entry<String, Node>> {
        private int mNext;

        @Override
        public boolean hasNext() {
            return mNext < mKeys.length;
        }

        @Override
        public Map.Entry<String, Node> next() {
            if (!hasNext()) {
                throw new NoSuchElementException();
            }
            int index = mNext++;
            return Map.entry(mKeys[index], mValues[index]);
        }
    }
}
