package org.gentianwalk.gateway.sockets;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** What the upstreams of a soak did with each request, by the identifier of the request. */
final class SoakAttempts {
    /**
     * Time for which an answer may be under way in a relay, longer than a relay delays or holds it.
     */
    static final long UNDER_WAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final String ANSWERED = "answered";

    private final Map<String, List<Event>> mEvents = new ConcurrentHashMap<>();
    private final Map<String, Set<String>> mEventsSent = new ConcurrentHashMap<>();
    private final Map<String, Long> mMillisLeft = new ConcurrentHashMap<>();
    private final Map<String, Long> mProcessEnds = new ConcurrentHashMap<>();

    /**
     * Something that happened to a request at an upstream.
     *
     * @param process the process of the upstream
     * @param what what happened
     * @param kind what it may be a reason for
     * @param atNanos when it happened
     */
    record Event(String process, String what, Kind kind, long atNanos) {
        boolean isLoss() {
            return kind == Kind.LOSS;
        }
    }

    /** What an event may be a reason for. */
    enum Kind {
        NONE,
        /** The connection was lost before the answer was whole. */
        LOSS,
        /** Bytes were sent that are no answer to the request; its process goes on. */
        GARBLED
    }

    /**
     * Records that the bytes of a request left the instance.
     *
     * @param id its identifier
     * @param process process that it was sent to
     * @param millisLeft time until its deadline, as the instance stated it
     */
    void sent(String id, String process, long millisLeft) {
        mMillisLeft.merge(id, millisLeft, Math::max);
        record(id, process, "sent with " + millisLeft + " ms left", Kind.NONE);
    }

    /** Returns the longest time until its deadline that was stated for a request, or 0. */
    long millisLeft(String id) {
        return mMillisLeft.getOrDefault(id, 0L);
    }

    void received(String id, String target, String process) {
        record(id, process, "received " + target, Kind.NONE);
    }

    void answered(String id, String process) {
        record(id, process, ANSWERED, Kind.NONE);
    }

    /** Records a response which states that the request was not executed. */
    void refused(String id, String process) {
        record(id, process, "refused", Kind.NONE);
    }

    /** Records that the connection of a request ended before its answer was whole. */
    void lost(String id, String process, String why) {
        record(id, process, why, Kind.LOSS);
    }

    /** Records that bytes are sent to a request that are no answer to it. */
    void garbled(String id, String process, String what) {
        record(id, process, what, Kind.GARBLED);
    }

    /** Records that a run of a stream sends an event. */
    void eventSent(String id, String run, int number) {
        mEventsSent
                .computeIfAbsent(id, key -> ConcurrentHashMap.newKeySet())
                .add(run + " " + number);
    }

    boolean isEventSent(String id, String run, int number) {
        return mEventsSent.getOrDefault(id, Set.of()).contains(run + " " + number);
    }

    /** Records that the connection ended on which a request was the last one. */
    void connectionLost(String id, String process, String why) {
        List<Event> events =
                eventsOf(id).stream().filter(event -> event.process().equals(process)).toList();
        if (!events.isEmpty()) {
            Event last = events.getLast();
            boolean answered = last.what().equals(ANSWERED);
            if (last.kind() != Kind.NONE
                    || answered && System.nanoTime() - last.atNanos() > UNDER_WAY_NANOS) {
                return;
            }
        }
        lost(id, process, why);
    }

    void processEnded(String process) {
        mProcessEnds.put(process, System.nanoTime());
    }

    private void record(String id, String process, String what, Kind kind) {
        mEvents.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>())
                .add(new Event(process, what, kind, System.nanoTime()));
    }

    private List<Event> eventsOf(String id) {
        return mEvents.getOrDefault(id, List.of());
    }

    /** Returns the losses under a request until a time. */
    List<Event> losses(String id, long untilNanos) {
        return eventsOf(id).stream()
                .filter(event -> event.isLoss() && event.atNanos() - untilNanos <= 0)
                .toList();
    }

    /** Returns the number of attempts that were lost or garbled until a time. */
    int lostOrGarbled(String id, long untilNanos) {
        return (int)
                eventsOf(id).stream()
                        .filter(event -> event.kind() != Kind.NONE)
                        .filter(event -> event.atNanos() - untilNanos <= 0)
                        .count();
    }

    /**
     * Returns how many processes had ended until a time, of those that were lost under a request.
     */
    long lostProcesses(String id, long untilNanos) {
        return losses(id, untilNanos).stream()
                .map(Event::process)
                .distinct()
                .filter(
                        process -> {
                            Long end = mProcessEnds.get(process);
                            return end != null && end - untilNanos <= 0;
                        })
                .count();
    }

    /** Returns the events of a request, each with the time since its start. */
    String describe(String id, long startNanos) {
        StringBuilder text = new StringBuilder();
        for (Event event : eventsOf(id)) {
            long millis = TimeUnit.NANOSECONDS.toMillis(event.atNanos() - startNanos);
            text.append("%s %s at %d ms, ".formatted(event.process(), event.what(), millis));
        }
        return text.isEmpty() ? "no upstream reached" : text.substring(0, text.length() - 2);
    }
}
