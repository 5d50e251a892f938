package org.gentianwalk.history.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.history.History;
import org.gentianwalk.history.HistoryEvent;
import org.gentianwalk.history.HistoryEvent.CallExecuted;
import org.gentianwalk.history.HistoryEvent.Failed;
import org.gentianwalk.history.HistoryEvent.Invoked;
import org.gentianwalk.history.HistoryEvent.WorkStarted;

/**
 * P4: work reaches an upstream only on behalf of an invocation that was not reported as not run. An
 * invocation without a response yet, or cut off, may have run.
 *
 * <p>Options: none. Example: {@code new NotRunCheck()}.
 */
public final class NotRunCheck extends HistoryCheck {
    /** Creates the checker. */
    public NotRunCheck() {
        super("P4");
    }

    @Override
    protected void inspect(History history) {
        Map<Long, Failed> notRun = new HashMap<>();
        for (Failed failed : history.events(Failed.class)) {
            if (failed.outcome() == Outcome.NOT_RUN) {
                notRun.put(failed.invocation(), failed);
            }
        }
        Map<RequestKey, List<Invoked>> invocations = new HashMap<>();
        for (HistoryEvent event : history.events()) {
            switch (event) {
                case Invoked invoked ->
                        invocations
                                .computeIfAbsent(invoked.key(), unused -> new ArrayList<>())
                                .add(invoked);
                case WorkStarted started ->
                        verify(started.timeNanos(), started.key(), invocations, notRun);
                case CallExecuted executed ->
                        verify(executed.timeNanos(), executed.key(), invocations, notRun);
                default -> {}
            }
        }
    }

    private void verify(
            long timeNanos,
            RequestKey key,
            Map<RequestKey, List<Invoked>> invocations,
            Map<Long, Failed> notRun) {
        for (Invoked invoked : invocations.getOrDefault(key, List.of())) {
            if (!notRun.containsKey(invoked.invocation())) {
                return;
            }
        }
        report(timeNanos, "%s ran although every invocation was reported as not run", key);
    }
}
