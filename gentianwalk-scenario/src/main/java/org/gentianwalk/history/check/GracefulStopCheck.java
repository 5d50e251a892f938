package org.gentianwalk.history.check;

import java.util.HashSet;
import java.util.Set;
import org.gentianwalk.history.History;
import org.gentianwalk.history.HistoryEvent;
import org.gentianwalk.history.HistoryEvent.ConnectionCut;
import org.gentianwalk.history.HistoryEvent.InstanceReachable;
import org.gentianwalk.history.HistoryEvent.StopRequested;

/**
 * P7: an instance that was asked to stop cuts off no connection.
 *
 * <p>Options: none. Example: {@code new GracefulStopCheck()}.
 */
public final class GracefulStopCheck extends HistoryCheck {
    /** Creates the checker. */
    public GracefulStopCheck() {
        super("P7");
    }

    @Override
    protected void inspect(History history) {
        Set<String> stopping = new HashSet<>();
        for (HistoryEvent event : history.events()) {
            switch (event) {
                case StopRequested stop -> stopping.add(stop.instance());
                case InstanceReachable started -> stopping.remove(started.instance());
                case ConnectionCut cut -> verify(cut, stopping);
                default -> {}
            }
        }
    }

    private void verify(ConnectionCut cut, Set<String> stopping) {
        if (stopping.contains(cut.instance())) {
            report(cut.timeNanos(), "%s was cut off by the stop of %s", cut.key(), cut.instance());
        }
    }
}
