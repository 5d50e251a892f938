package org.gentianwalk.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** An append-only record of a run; safe for use by several threads. */
public final class History {
    private final List<HistoryEvent> mEvents = new ArrayList<>();

    /**
     * Appends an event.
     *
     * @param event the event
     */
    public synchronized void append(HistoryEvent event) {
        mEvents.add(event);
    }

    /**
     * Returns a copy of the events, ordered by time; events of equal time keep the order in which
     * they were appended.
     *
     * @return the events
     */
    public synchronized List<HistoryEvent> events() {
        List<HistoryEvent> copy = new ArrayList<>(mEvents);
        copy.sort(Comparator.comparingLong(HistoryEvent::timeNanos));
        return copy;
    }

    /**
     * Returns the events of one type, ordered by time.
     *
     * @param type the type
     * @param <T> the type
     * @return the events
     */
    public <T extends HistoryEvent> List<T> events(Class<T> type) {
        List<T> matching = new ArrayList<>();
        for (HistoryEvent event : events()) {
            if (type.isInstance(event)) {
                matching.add(type.cast(event));
            }
        }
        return matching;
    }
}
