package org.gentianwalk.gateway.store;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.gentianwalk.gateway.store.RowStore.Row;

/** Passes changes that this instance reads from the store on to other instances. */
public interface TableFeed {
    /** A feed without recipients, for a single instance. */
    TableFeed NONE =
            new TableFeed() {
                @Override
                public void reportRead(
                        String table, StoreVersion from, StoreVersion to, List<Row> rows) {
                    // There is no other instance.
                }

                @Override
                public void reportUnreachable(String table) {
                    // There is no other instance.
                }

                @Override
                public boolean isReader() {
                    return true;
                }

                @Override
                public CompletionStage<RowStore.Result> pull(String table) {
                    return java.util.concurrent.CompletableFuture.completedFuture(
                            new RowStore.Result.Failed("there is no other instance", false));
                }
            };

    /**
     * Reports a successful read from the store.
     *
     * @param table the table
     * @param from point from which on the rows are complete
     * @param to point up to which this instance has read the table
     * @param rows all rows that changed between the two points; often empty
     */
    void reportRead(String table, StoreVersion from, StoreVersion to, List<Row> rows);

    /**
     * Reports that the store can't be reached.
     *
     * @param table the table
     */
    void reportUnreachable(String table);

    /**
     * Returns whether this instance polls the store on behalf of others.
     *
     * @return true when it has to poll the store itself
     */
    boolean isReader();

    /**
     * Requests a complete table from another instance.
     *
     * @param table the table
     * @return a {@link RowStore.Result.Rows} or {@link RowStore.Result.Failed}; never fails
     */
    CompletionStage<RowStore.Result> pull(String table);
}
