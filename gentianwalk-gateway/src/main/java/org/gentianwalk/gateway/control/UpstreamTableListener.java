package org.gentianwalk.gateway.control;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.UpstreamDirectory;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.log.GatewayLog;
import org.gentianwalk.gateway.store.RowFormat;
import org.gentianwalk.gateway.store.RowStore.Row;
import org.gentianwalk.gateway.store.TableListener;
import org.gentianwalk.gateway.store.UnreadableRowException;
import org.jspecify.annotations.Nullable;

/** Applies changes of the list of upstreams to the directory. Confined to the control thread. */
final class UpstreamTableListener implements TableListener {
    private final RowFormat mRowFormat;
    private final UpstreamDirectory mDirectory;
    private final Runnable mChanged;
    private final Ticker mTicker;
    private final GatewayLog mLog;

    /**
     * Creates a listener.
     *
     * @param rowFormat parses the rows
     * @param directory receives the entries
     * @param changed called after changes of the directory
     * @param ticker clock
     * @param log logs the changes
     */
    UpstreamTableListener(
            RowFormat rowFormat,
            UpstreamDirectory directory,
            Runnable changed,
            Ticker ticker,
            GatewayLog log) {
        mRowFormat = rowFormat;
        mDirectory = directory;
        mChanged = changed;
        mTicker = ticker;
        mLog = log;
    }

    @Override
    public void replaced(List<Row> rows) {
        List<Upstream> upstreams = new ArrayList<>();
        for (Row row : rows) {
            Upstream upstream = parse(row);
            if (upstream != null) {
                upstreams.add(upstream);
            }
        }
        mDirectory.replaceAll(upstreams, mTicker.nanos()).forEach(mLog::upstreamListed);
        mChanged.run();
    }

    @Override
    public void changed(List<Row> rows) {
        mDirectory.recordRecovery(mTicker.nanos());
        for (Row row : rows) {
            Upstream upstream = row.removed() ? null : parse(row);
            if (upstream == null) {
                mLog.upstreamRemoved(row.key());
                mDirectory.remove(row.key(), mTicker.nanos());
            } else if (mDirectory.put(upstream, mTicker.nanos())) {
                // Upstreams write their rows again at intervals, to show that they are alive.
                mLog.upstreamListed(upstream);
            }
        }
        mChanged.run();
    }

    @Override
    public void unavailable(String reason) {
        mLog.dependencyLost("list of upstreams", reason);
        mDirectory.recordOutage(mTicker.nanos());
    }

    private @Nullable Upstream parse(Row row) {
        try {
            return mRowFormat.parseUpstream(row.key(), row.value());
        } catch (UnreadableRowException | RuntimeException e) {
            // One row, which another writer may have left, must not keep the others out.
            mLog.rowIgnored(row.key(), String.valueOf(e.getMessage()));
            return null;
        }
    }
}
