package org.gentianwalk.history.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.history.History;
import org.gentianwalk.history.HistoryEvent;
import org.gentianwalk.history.HistoryEvent.Completed;
import org.gentianwalk.history.HistoryEvent.EngineLost;
import org.gentianwalk.history.HistoryEvent.TokenDelivered;

/**
 * After the loss of an engine the next token (or the end of the answer) reaches the caller within 5
 * s in 95% of the cases.
 *
 * <p>Options: none. Example: {@code new ResumeCheck()}.
 */
public final class ResumeCheck extends HistoryCheck {
    private static final Duration BOUND = Duration.ofSeconds(5);
    private static final double QUANTILE = 0.95;

    /** Creates the checker. */
    public ResumeCheck() {
        super("resume");
    }

    /**
     * Returns the time from each loss to the next output of the request.
     *
     * @param history the history
     * @return durations in ascending order; a loss without later output counts as the maximum
     */
    public static List<Duration> resumeTimes(History history) {
        Map<RequestKey, Long> lostAt = new HashMap<>();
        List<Duration> times = new ArrayList<>();
        for (HistoryEvent event : history.events()) {
            switch (event) {
                case EngineLost lost -> lostAt.putIfAbsent(lost.key(), lost.timeNanos());
                case TokenDelivered token -> resumed(token.key(), token.timeNanos(), lostAt, times);
                case Completed end -> resumed(end.key(), end.timeNanos(), lostAt, times);
                default -> {}
            }
        }
        for (int i = 0; i < lostAt.size(); i++) {
            times.add(Duration.ofSeconds(Long.MAX_VALUE));
        }
        times.sort(null);
        return times;
    }

    @Override
    protected void inspect(History history) {
        List<Duration> times = resumeTimes(history);
        if (times.isEmpty()) {
            return;
        }
        int rank = (int) Math.ceil(QUANTILE * times.size()) - 1;
        Duration value = times.get(rank);
        if (value.compareTo(BOUND) > 0) {
            report(0, "95th percentile of resume time is %s, above %s", value, BOUND);
        }
    }

    private static void resumed(
            RequestKey key, long timeNanos, Map<RequestKey, Long> lostAt, List<Duration> times) {
        Long since = lostAt.remove(key);
        if (since != null) {
            times.add(Duration.ofNanos(timeNanos - since));
        }
    }
}
