package org.gentianwalk.history.check;

import java.util.HashSet;
import java.util.Set;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.history.History;
import org.gentianwalk.history.HistoryEvent.CallExecuted;

/**
 * P5: a call that may not be repeated is executed at most once under its key.
 *
 * <p>Options: none. Example: {@code new AtMostOnceCheck()}.
 */
public final class AtMostOnceCheck extends HistoryCheck {
    /** Creates the checker. */
    public AtMostOnceCheck() {
        super("P5");
    }

    @Override
    protected void inspect(History history) {
        Set<RequestKey> executed = new HashSet<>();
        for (CallExecuted execution : history.events(CallExecuted.class)) {
            if (!executed.add(execution.key())) {
                report(execution.timeNanos(), "%s was executed again", execution.key());
            }
        }
    }
}
