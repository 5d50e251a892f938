package org.gentianwalk.gateway.store;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/** The shared store of the platform. Calls never block and are never retried. */
public interface RowStore {
    /**
     * Reads rows in the order of their keys.
     *
     * @param table the table
     * @param fromKey first key to read; empty for the start
     * @param timeout longest wait for the response
     * @return a {@link Result.Rows} or {@link Result.Failed}; the stage never fails
     */
    CompletionStage<Result> read(String table, String fromKey, Duration timeout);

    /**
     * Waits for changes (long poll).
     *
     * @param table the table
     * @param since version after which changes are returned
     * @param wait how long the store may wait for a change
     * @param timeout longest wait for the response, in addition to {@code wait}
     * @return any {@link Result}; the stage never fails
     */
    CompletionStage<Result> changes(String table, long since, Duration wait, Duration timeout);

    /**
     * Writes or removes one row unconditionally.
     *
     * @param table the table
     * @param key key of the row
     * @param value the value, or null to remove the row
     * @param timeout longest wait for the response
     * @return a {@link Result.Rows} without rows, or {@link Result.Failed}; the stage never fails
     */
    CompletionStage<Result> write(
            String table, String key, byte @Nullable [] value, Duration timeout);

    /**
     * Writes one row if the store holds it in the expected version.
     *
     * @param table the table
     * @param key key of the row
     * @param value the value
     * @param expected version at which the row must have been written; 0 when it must not exist
     * @param timeout longest wait for the response
     * @return the result; the stage never fails
     */
    default CompletionStage<WriteResult> writeIf(
            String table, String key, byte[] value, long expected, Duration timeout) {
        return CompletableFuture.completedFuture(
                new WriteResult.Unknown("the store does not support conditional writes"));
    }

    /** Result of a conditional write. */
    sealed interface WriteResult {
        /**
         * The write took effect.
         *
         * @param version version at which the row was written; 0 when the store does not state it
         */
        record Written(long version) implements WriteResult {}

        /**
         * The row has another version, so nothing was written.
         *
         * @param current the row in the store, or null when there is none or it is not stated
         */
        record Conflict(@Nullable Row current) implements WriteResult {}

        /**
         * The write may have taken effect, or may still take effect while its condition holds.
         *
         * @param reason status or failure, for the log
         */
        record Unknown(String reason) implements WriteResult {}
    }

    /** Result of a call. */
    sealed interface Result {
        /**
         * Rows of a consistent read, or changes in their order.
         *
         * @param rows the rows
         * @param more true when further rows follow
         * @param readAt point in the store's history up to which the rows are complete
         */
        record Rows(List<Row> rows, boolean more, StoreVersion readAt) implements Result {
            /**
             * Creates a result of a store that has never come back from a copy.
             *
             * @param rows the rows
             * @param more true when further rows follow
             * @param version version of the store up to which the rows are complete
             */
            public Rows(List<Row> rows, boolean more, long version) {
                this(rows, more, new StoreVersion(0, version));
            }

            /**
             * Returns the version up to which the rows are complete.
             *
             * @return the version, within the era of {@link #readAt}
             */
            public long version() {
                return readAt.version();
            }
        }

        /** The store no longer holds the changes since the requested version. */
        record HistoryLost() implements Result {}

        /**
         * No usable response.
         *
         * @param reason status or failure, for the log
         * @param responded true when the store has responded, so it is reachable
         */
        record Failed(String reason, boolean responded) implements Result {}
    }

    /**
     * A row.
     *
     * @param key its key
     * @param value its value; empty for a removed row
     * @param removed true when the row was removed
     * @param written point in the store's history at which it was written or removed
     * @param carried true when the store does not hold the row: it was kept from an earlier era,
     *     since the store came back from a copy that was older
     */
    record Row(String key, byte[] value, boolean removed, StoreVersion written, boolean carried) {
        /**
         * Creates a row of a store that has never come back from a copy.
         *
         * @param key its key
         * @param value its value; empty for a removed row
         * @param removed true when the row was removed
         * @param version version of the store at which it was written or removed
         */
        public Row(String key, byte[] value, boolean removed, long version) {
            this(key, value, removed, new StoreVersion(0, version), false);
        }

        /**
         * Returns the version at which the row was written or removed.
         *
         * @return the version, within the era of {@link #written}
         */
        public long version() {
            return written.version();
        }
    }
}
