package org.gentianwalk.core.platform;

/**
 * A row of the table service.
 *
 * @param key the key
 * @param version version, which starts at 1 and increases with every write
 * @param value the content
 */
public record Row(String key, long version, byte[] value) {
    /** Expected version of a row that must not exist. */
    public static final long ABSENT = 0;
}
