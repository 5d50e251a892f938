package org.gentianwalk.gateway.store;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.gentianwalk.gateway.store.RowStore.Row;

/** Passes on to other instances what this one reads from the store. */
public interface TableFeed {
    /** A feed to nobody, for an instance on its own. */
    TableFeed NONE =
            new TableFeed() {
                @Override
                public void read(String table, long version, List<Row> rows) {
                    // Nobody has to be told.
                }

                @Override
                public void lost(String table) {
                    // Nobody has to be told.
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
     * Tells of an answer of the store.
     *
     * @param table the table
     * @param version version up to which this instance knows the table now
     * @param rows what has changed since the version told before; often nothing
     */
    void read(String table, long version, List<Row> rows);

    /**
     * Tells that the store can't be reached.
     *
     * @param table the table
     */
    void lost(String table);

    /**
     * Tells whether others rely on this instance to read the store.
     *
     * @return true when it has to ask the store itself
     */
    boolean isReader();

    /**
     * Asks another instance for a whole table.
     *
     * @param table the table
     * @return a {@link RowStore.Result.Rows} or {@link RowStore.Result.Failed}; never fails
     */
    CompletionStage<RowStore.Result> pull(String table);
}
