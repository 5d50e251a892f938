package org.gentianwalk.gateway.traffic;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Splits the bytes of a stream into whole events (text/event-stream). */
final class EventSplitter {
    private static final String NUMBER_FIELD = "id:";

    private byte[] mBytes = new byte[512];
    private int mLength;
    private int mScanned;

    /** Takes in bytes and returns the events that are whole now. */
    List<StreamEvent> add(byte[] part) {
        if (mLength + part.length > mBytes.length) {
            mBytes = Arrays.copyOf(mBytes, Math.max(mBytes.length * 2, mLength + part.length));
        }
        System.arraycopy(part, 0, mBytes, mLength, part.length);
        mLength += part.length;
        List<StreamEvent> events = new ArrayList<>(2);
        int start = 0;
        for (int i = mScanned; i < mLength; i++) {
            if (mBytes[i] == '\n' && endsEvent(start, i)) {
                byte[] bytes = Arrays.copyOfRange(mBytes, start, i + 1);
                events.add(new StreamEvent(number(bytes), bytes));
                start = i + 1;
            }
        }
        System.arraycopy(mBytes, start, mBytes, 0, mLength - start);
        mLength -= start;
        mScanned = mLength;
        return events;
    }

    /** Returns the bytes after the last whole event. */
    byte[] rest() {
        return Arrays.copyOf(mBytes, mLength);
    }

    /** Tells whether the line feed at a position ends an empty line after at least one other. */
    private boolean endsEvent(int start, int end) {
        int before = end - 1;
        if (before >= start && mBytes[before] == '\r') {
            before--;
        }
        return before > start && mBytes[before] == '\n';
    }

    private static long number(byte[] event) {
        for (String line : new String(event, StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith(NUMBER_FIELD)) {
                try {
                    return Long.parseLong(line.substring(NUMBER_FIELD.length()).trim());
                } catch (NumberFormatException e) {
                    // The field may hold any text; such an event has no position in the stream.
                    return StreamEvent.UNNUMBERED;
                }
            }
        }
        return StreamEvent.UNNUMBERED;
    }
}
