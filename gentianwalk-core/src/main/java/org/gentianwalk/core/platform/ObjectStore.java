package org.gentianwalk.core.platform;

import java.util.Optional;

/** The platform's object store. Calls block. */
public interface ObjectStore {
    /**
     * Stores an object. An existing object with the same key is replaced.
     *
     * @param key the object's key
     * @param content the content
     * @throws PlatformException if the store did not confirm the write
     */
    void put(String key, byte[] content) throws PlatformException;

    /**
     * Reads an object.
     *
     * @param key the object's key
     * @return the content, or empty when there is no such object
     * @throws PlatformException if the store can't be reached
     */
    Optional<byte[]> read(String key) throws PlatformException;

    /**
     * Deletes an object if it exists.
     *
     * @param key the object's key
     * @throws PlatformException if the store did not confirm the deletion
     */
    void delete(String key) throws PlatformException;
}
