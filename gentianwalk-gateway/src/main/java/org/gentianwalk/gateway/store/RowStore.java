package org.gentianwalk.gateway.store;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/** The shared store of the platform. Calls never block and never repeat themselves. */
public interface RowStore {
    /**
     * Reads rows in the order of their keys.
     *
     * @param table the table
     * @param fromKey first key to read; empty for the start
     * @param timeout longest wait for the answer
     * @return a {@link Result.Rows} or {@link Result.Failed}; the stage never fails
     */
    CompletionStage<Result> read(String table, String fromKey, Duration timeout);

    /**
     * Waits for changes.
     *
     * @param table the table
     * @param since version up to which changes are known
     * @param wait how long the store may wait for a change
     * @param timeout longest wait for the answer, beyond {@code wait}
     * @return any {@link Result}; the stage never fails
     */
    CompletionStage<Result> changes(String table, long since, Duration wait, Duration timeout);

    /**
     * Writes or removes one row without a condition.
     *
     * @param table the table
     * @param key its key
     * @param value the value, or null to remove the row
     * @param timeout longest wait for the answer
     * @return a {@link Result.Rows} without rows, or {@link Result.Failed}; the stage never fails
     */
    CompletionStage<Result> write(
            String table, String key, byte @Nullable [] value, Duration timeout);

    /** What a call returned. */
    sealed interface Result {
        /**
         * Rows as of one moment, or changes in their order.
         *
         * @param rows the rows
         * @param more true when further rows follow
         * @param version version of the store up to which this holds
         */
        record Rows(List<Row> rows, boolean more, long version) implements Result {}

        /** The store has dropped the changes since the version asked for. */
        record HistoryLost() implements Result {}

        /**
         * No answer that can be used.
         *
         * @param reason status or failure, for the log
         * @param answered true when the store has answered, which shows that it can be reached
         */
        record Failed(String reason, boolean answered) implements Result {}
    }

    /**
     * A row.
     *
     * @param key its key
     * @param value its value; empty for a removed row
     * @param removed true when a change removed it
     * @param version version of the store at which it was written or removed
     */
    record Row(String key, byte[] value, boolean removed, long version) {}
}
