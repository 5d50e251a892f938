package org.gentianwalk.history.check;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.gentianwalk.history.History;
import org.gentianwalk.history.HistoryEvent;
import org.gentianwalk.history.HistoryEvent.UpstreamLeaving;
import org.gentianwalk.history.HistoryEvent.UpstreamReturned;
import org.gentianwalk.history.HistoryEvent.WorkStarted;

/**
 * P6: an upstream gets no new work later than 3 s after it was said to be leaving.
 *
 * <p>Options: none. Example: {@code new DrainCheck()}.
 */
public final class DrainCheck extends HistoryCheck {
    private static final long BOUND_NANOS = Duration.ofSeconds(3).toNanos();

    /** Creates the checker. */
    public DrainCheck() {
        super("P6");
    }

    @Override
    protected void inspect(History history) {
        Map<String, Long> leavingSince = new HashMap<>();
        for (HistoryEvent event : history.events()) {
            switch (event) {
                case UpstreamLeaving leaving ->
                        leavingSince.putIfAbsent(leaving.upstream(), leaving.timeNanos());
                case UpstreamReturned returned -> leavingSince.remove(returned.upstream());
                case WorkStarted started -> verify(started, leavingSince);
                default -> {}
            }
        }
    }

    private void verify(WorkStarted started, Map<String, Long> leavingSince) {
        Long since = leavingSince.get(started.upstream());
        if (since != null && started.timeNanos() - since > BOUND_NANOS) {
            report(
                    started.timeNanos(),
                    "%s was sent to %s, which has been leaving for %d ms",
                    started.key(),
                    started.upstream(),
                    Duration.ofNanos(started.timeNanos() - since).toMillis());
        }
    }
}
