package org.gentianwalk.server.pipeline;

import java.time.Duration;
import org.gentianwalk.core.error.ServeError;
import org.jspecify.annotations.Nullable;

/** Determines the deadline from the header, or else from the rule for the kind of work. */
public final class DeadlineFilter implements CallFilter {
    private static final String DEADLINE = "Gentianwalk-Deadline-Ms";
    private static final long MAX_MILLIS = Duration.ofDays(1).toMillis();

    @Override
    public @Nullable ServeError apply(CallContext call) {
        Duration byRule = call.rule().deadline();
        if (byRule != null) {
            call.deadline(byRule);
        }
        String header = call.header(DEADLINE);
        if (header == null) {
            return null;
        }
        long millis = parse(header.strip());
        if (millis < 1 || millis > MAX_MILLIS) {
            return ServeError.invalidParameter(
                    DEADLINE,
                    "Header " + DEADLINE + " must be an integer from 1 to " + MAX_MILLIS + ".");
        }
        call.deadline(Duration.ofMillis(millis));
        return null;
    }

    private static long parse(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
