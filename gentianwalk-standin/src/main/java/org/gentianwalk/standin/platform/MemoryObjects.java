package org.gentianwalk.standin.platform;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.gentianwalk.core.platform.ObjectStore;

/** The object store in memory. */
public final class MemoryObjects implements ObjectStore {
    private final Map<String, byte[]> mObjects = new ConcurrentHashMap<>();

    @Override
    public void put(String key, byte[] content) {
        mObjects.put(key, content.clone());
    }

    @Override
    public Optional<byte[]> read(String key) {
        return Optional.ofNullable(mObjects.get(key)).map(byte[]::clone);
    }

    @Override
    public void delete(String key) {
        mObjects.remove(key);
    }
}
