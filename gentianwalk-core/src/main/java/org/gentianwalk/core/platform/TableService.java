package org.gentianwalk.core.platform;

import java.util.List;

/**
 * The platform's transactional table service. Calls block; they are made on traffic threads, never
 * on the control thread.
 */
public interface TableService {
    /**
     * Reads a row.
     *
     * @param key the row's key
     * @return the result
     */
    ReadResult read(String key);

    /**
     * Writes a row if it has the expected version.
     *
     * @param key the row's key
     * @param expected version that the row must have, or {@link Row#ABSENT}
     * @param value the new content
     * @return the result; {@link WriteResult.Unknown} when the response was lost
     */
    WriteResult write(String key, long expected, byte[] value);

    /**
     * Deletes a row if it has the expected version.
     *
     * @param key the row's key
     * @param expected version that the row must have
     * @return the result
     */
    WriteResult delete(String key, long expected);

    /**
     * Lists rows in the order of their keys.
     *
     * @param prefix prefix of the keys
     * @param after last key of the previous page, empty for the first page
     * @param limit maximum number of rows to return
     * @return the rows of the page, empty after the last page
     * @throws PlatformException if the service can't be reached
     */
    List<Row> list(String prefix, String after, int limit) throws PlatformException;
}
