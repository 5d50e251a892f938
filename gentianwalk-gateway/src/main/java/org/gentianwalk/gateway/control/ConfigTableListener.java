package org.gentianwalk.gateway.control;

import java.util.List;
import java.util.function.Consumer;
import org.gentianwalk.core.route.RouteTable;
import org.gentianwalk.gateway.log.GatewayLog;
import org.gentianwalk.gateway.store.RowFormat;
import org.gentianwalk.gateway.store.RowStore.Row;
import org.gentianwalk.gateway.store.TableListener;
import org.gentianwalk.gateway.store.UnreadableRowException;
import org.jspecify.annotations.Nullable;

/** Parses changes of the configuration. Confined to the control thread. */
final class ConfigTableListener implements TableListener {
    private final RowFormat mRowFormat;
    private final Consumer<RouteTable> mConsumer;
    private final Runnable mRestored;
    private final GatewayLog mLog;
    private final @Nullable RolloutCoordinator mRollouts;

    /**
     * Creates a listener.
     *
     * @param rowFormat parses the rows
     * @param consumer receives each configuration that can be read
     * @param restored called when the store has come back from a copy
     * @param log logs rows that can't be read, and outages
     * @param rollouts receives the orders of rollouts, or null for none
     */
    ConfigTableListener(
            RowFormat rowFormat,
            Consumer<RouteTable> consumer,
            Runnable restored,
            GatewayLog log,
            @Nullable RolloutCoordinator rollouts) {
        mRowFormat = rowFormat;
        mConsumer = consumer;
        mRestored = restored;
        mLog = log;
        mRollouts = rollouts;
    }

    @Override
    public void replaced(List<Row> rows) {
        applyConfiguration(rows);
        if (mRollouts != null) {
            mRollouts.replaceOrders(rows);
        }
    }

    @Override
    public void changed(List<Row> rows) {
        applyConfiguration(rows);
        if (mRollouts != null) {
            mRollouts.changeOrders(rows);
        }
    }

    private void applyConfiguration(List<Row> rows) {
        for (Row row : rows) {
            if (!row.key().equals(mRowFormat.configKey()) || row.removed()) {
                continue;
            }
            try {
                mConsumer.accept(mRowFormat.parseConfiguration(row.value()));
            } catch (UnreadableRowException | RuntimeException e) {
                mLog.rowIgnored(row.key(), String.valueOf(e.getMessage()));
            }
        }
    }

    /** A configuration never goes back, whatever the store came back from. */
    @Override
    public boolean supersedes(Row known, Row other) {
        if (!known.key().equals(mRowFormat.configKey())) {
            return false;
        }
        try {
            long version = mRowFormat.parseConfiguration(known.value()).version();
            return version > mRowFormat.parseConfiguration(other.value()).version();
        } catch (UnreadableRowException | RuntimeException e) {
            return false;
        }
    }

    /** The operator writes a configuration once. */
    @Override
    public boolean refreshesRows() {
        return false;
    }

    @Override
    public void restored(long era) {
        mRestored.run();
    }

    @Override
    public void unavailable(String reason) {
        mLog.dependencyLost("configuration", reason);
    }
}
