package org.gentianwalk.gateway.control;

import java.util.List;
import org.gentianwalk.gateway.log.GatewayLog;
import org.gentianwalk.gateway.store.RowStore.Row;
import org.gentianwalk.gateway.store.StoreVersion;
import org.gentianwalk.gateway.store.TableListener;

/** Passes the status rows of rollouts on. Confined to the control thread. */
final class RolloutStatusListener implements TableListener {
    private final RolloutCoordinator mRollouts;
    private final GatewayLog mLog;

    RolloutStatusListener(RolloutCoordinator rollouts, GatewayLog log) {
        mRollouts = rollouts;
        mLog = log;
    }

    @Override
    public void replaced(List<Row> rows) {
        // The point of the read is at least that of the newest row.
        StoreVersion newest = StoreVersion.NONE;
        for (Row row : rows) {
            newest = newest.max(row.written());
        }
        mRollouts.replaceStatuses(rows, newest);
    }

    @Override
    public void changed(List<Row> rows) {
        mRollouts.changeStatuses(rows);
    }

    @Override
    public boolean refreshesRows() {
        return false;
    }

    @Override
    public void unavailable(String reason) {
        mLog.dependencyLost("status of rollouts", reason);
        mRollouts.recordOutage();
    }
}
