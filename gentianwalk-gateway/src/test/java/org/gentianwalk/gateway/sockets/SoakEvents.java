package org.gentianwalk.gateway.sockets;

import java.util.HashSet;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Judges the body of a stream event by event: the events of its own request, each once. */
final class SoakEvents {
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+) (\\S+)\n\n");

    private SoakEvents() {}

    /**
     * The result for one body.
     *
     * @param last number of the last event that the caller has
     * @param violation what is wrong with the body, or null
     */
    record Judgement(int last, String violation) {}

    /** Returns an event as the upstreams send it; the run is unique to an attempt. */
    static String event(int number, String target, String run) {
        return "id: " + number + "\ndata: " + target + " " + run + "\n\n";
    }

    /**
     * Judges a body.
     *
     * @param request the request
     * @param body the body as far as it arrived
     * @param complete whether it ended as its framing states
     * @param attempts knows which runs sent which events
     */
    static Judgement judge(
            SoakHistory.Request request, String body, boolean complete, SoakAttempts attempts) {
        int last = request.last();
        String run = "";
        Set<String> earlierRuns = new HashSet<>();
        Matcher event = EVENT.matcher(body);
        int position = 0;
        while (position < body.length()) {
            if (!event.region(position, body.length()).lookingAt()) {
                boolean cut = !complete && isBegin(body.substring(position), last + 1, request);
                return new Judgement(last, cut ? null : "bytes that are no event after " + last);
            }
            if (!event.group(1).equals(String.valueOf(last + 1))) {
                return new Judgement(last, "event " + event.group(1) + " after " + last);
            }
            last++;
            if (!event.group(2).equals(request.target())
                    || !attempts.isEventSent(request.id(), event.group(3), last)) {
                return new Judgement(last, "no run of the request sent its event " + last);
            }
            if (!event.group(3).equals(run)) {
                earlierRuns.add(run);
                run = event.group(3);
            }
            if (earlierRuns.contains(run)) {
                return new Judgement(last, "events of two runs are mixed at " + last);
            }
            position = event.end();
        }
        boolean early = complete && last != SoakUpstream.EVENTS;
        return new Judgement(last, early ? "it is complete after event " + last : null);
    }

    /** Returns whether bytes are the begin of an event, as the end of a connection leaves it. */
    private static boolean isBegin(String bytes, int number, SoakHistory.Request request) {
        String begin = "id: " + number + "\ndata: " + request.target() + " ";
        return bytes.length() <= begin.length()
                ? begin.startsWith(bytes)
                : bytes.startsWith(begin)
                        && bytes.substring(begin.length()).matches("\\S*\n?")
                        && number <= SoakUpstream.EVENTS;
    }
}
